/**
 * The configuration of a deployment whose platform declares hosts, routing rules and services, and
 * the entries of the endpoints that register themselves.
 *
 * <p>The platform adapter creates these objects; the gateway looks up the rule of each request in a
 * {@link org.mustardstage.core.gateway.GatewayConfig}. Start there.
 */
package org.mustardstage.core.gateway;
