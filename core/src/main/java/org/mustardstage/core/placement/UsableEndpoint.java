package org.mustardstage.core.placement;

import org.mustardstage.core.gateway.RegisteredEndpoint;

/**
 * An endpoint that may receive new requests.
 *
 * @param endpoint the endpoint
 * @param coldUntilNanos until when the endpoint is cold; in the past if it is warm
 */
public record UsableEndpoint(RegisteredEndpoint endpoint, long coldUntilNanos) {}
