package org.mustardstage.core.gateway;

import com.google.common.base.Preconditions;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes the maximum size of the request line and headers
 * @param maxBodyBytes the maximum size of a request body
 * @param headerTimeoutMillis how long the request line and headers may take to arrive
 * @param idleTimeoutMillis how long a connection may stay idle between requests
 */
public record CallerLimits(
    long maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** Checks that all limits are positive. */
  public CallerLimits {
    Preconditions.checkArgument(
        maxHeaderBytes > 0, "maxHeaderBytes must be positive: %s", maxHeaderBytes);
    Preconditions.checkArgument(
        maxBodyBytes > 0, "maxBodyBytes must be positive: %s", maxBodyBytes);
    Preconditions.checkArgument(
        headerTimeoutMillis > 0, "headerTimeoutMillis must be positive: %s", headerTimeoutMillis);
    Preconditions.checkArgument(
        idleTimeoutMillis > 0, "idleTimeoutMillis must be positive: %s", idleTimeoutMillis);
  }
}
