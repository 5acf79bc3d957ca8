/**
 * The entry VM on a platform that describes deployments by routes. It accepts callers' requests,
 * chooses an endpoint for each, forwards the request with retries and hedges, and returns the
 * response.
 *
 * <p>The inputs besides the requests are the operators' configuration and the registered endpoints,
 * replicated from the platform's store, and the membership of the entry VMs. Formats and header
 * names that are specific to a platform are defined by an implementation of {@link
 * org.mustardstage.entry.gateway.PlatformAdapter}. Start with {@link
 * org.mustardstage.entry.gateway.GatewayProcess}, {@link
 * org.mustardstage.entry.gateway.GatewayServlet} for the path of a request, and {@link
 * org.mustardstage.entry.gateway.GatewayControl} for the control state.
 */
package org.mustardstage.entry.gateway;
