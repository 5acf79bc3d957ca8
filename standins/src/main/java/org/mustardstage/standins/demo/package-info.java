/**
 * The demo: starts a complete deployment as processes on loopback addresses, sends load while the
 * configuration changes and entry VMs stop or are killed, and checks the outcomes that callers saw
 * against the runs that endpoints recorded. Start with {@link
 * org.mustardstage.standins.demo.DemoMain}.
 */
package org.mustardstage.standins.demo;
