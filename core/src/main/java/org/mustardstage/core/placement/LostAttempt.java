package org.mustardstage.core.placement;

/**
 * An attempt of a request that ended without a response, because the endpoint that had it ended.
 *
 * @param fingerprint identifies the request
 * @param endpoint the endpoint
 */
public record LostAttempt(RequestFingerprint fingerprint, EndpointIncarnation endpoint) {}
