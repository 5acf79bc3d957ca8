package org.mustardstage.entry.gateway;

import io.activej.reactor.nio.NioReactor;

/**
 * What the requests of one traffic thread share.
 *
 * @param reactor the event loop of the thread
 * @param placer chooses the endpoints
 * @param connections the connections to endpoints
 * @param linkMonitor knows whether this VM reaches any endpoint
 * @param relayNetwork relays requests to other VMs
 * @param crashGuard rejects requests that have ended several endpoints
 * @param quotas gives the attempts of tenants their permits
 * @param largeResponses the room for large responses
 * @param headerNames the headers that callers and endpoints use
 */
record GatewayServices(
    NioReactor reactor,
    Placer placer,
    EndpointConnectionPool connections,
    EndpointLinkMonitor linkMonitor,
    RelayNetwork relayNetwork,
    CrashGuard crashGuard,
    QuotaGate quotas,
    LargeResponses largeResponses,
    HeaderNames headerNames) {}
