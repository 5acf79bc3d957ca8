/**
 * What operators declare for a deployment that the platform describes by routes: hosts, rules,
 * services, and the endpoints that register themselves.
 */
package org.mustardstage.core.gateway;
