package org.mustardstage.core.placement;

import org.mustardstage.core.gateway.RegisteredEndpoint;

/**
 * An endpoint that may be sent new work.
 *
 * @param endpoint the endpoint
 * @param coldUntilNanos until when it is cold; in the past when it is not
 */
public record UsableEndpoint(RegisteredEndpoint endpoint, long coldUntilNanos) {}
