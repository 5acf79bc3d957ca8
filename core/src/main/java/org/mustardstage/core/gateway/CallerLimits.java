package org.mustardstage.core.gateway;

import com.google.common.base.Preconditions;

/**
 * What a caller may send, and how long it may take.
 *
 * @param maxHeadBytes the largest head of a request
 * @param maxBodyBytes the largest body of a request
 * @param headTimeoutMillis how long the head of a request may take to arrive
 * @param idleTimeoutMillis how long a connection may stay idle between two requests
 */
public record CallerLimits(
    long maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** Checks that all limits are positive. */
  public CallerLimits {
    Preconditions.checkArgument(maxHeaderBytes > 0, "maxHeadBytes must be positive");
    Preconditions.checkArgument(maxBodyBytes > 0, "maxBodyBytes must be positive");
    Preconditions.checkArgument(headerTimeoutMillis > 0, "headTimeoutMillis must be positive");
    Preconditions.checkArgument(idleTimeoutMillis > 0, "idleTimeoutMillis must be positive");
  }
}
