package org.mustardstage.core.placement;

import org.mustardstage.core.id.EndpointId;

/**
 * An attempt of a request that ended without a response, because the endpoint that had it ended.
 *
 * @param fingerprint identifies the request
 * @param endpoint the id of the endpoint
 * @param startTimeMillis the start time by which the registry tells its incarnations apart, in
 *     milliseconds since the epoch
 */
public record LostAttempt(
    RequestFingerprint fingerprint, EndpointId endpoint, long startTimeMillis) {}
