/**
 * The entry VM on a platform that describes deployments by routes: callers' requests, the links to
 * endpoints, and the control state that both need. What the platform calls things is decoded by an
 * adapter, which implements {@link org.mustardstage.entry.gateway.PlatformAdapter}.
 */
package org.mustardstage.entry.gateway;
