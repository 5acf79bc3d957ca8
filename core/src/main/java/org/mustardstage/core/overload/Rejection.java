package org.mustardstage.core.overload;

import com.google.common.base.Preconditions;

/**
 * The rejection of a request that will not run.
 *
 * @param request the request
 * @param reason why it was rejected
 * @param retryAfterMillis how long its caller should wait before a retry
 */
public record Rejection(QueuedRequest request, RejectionReason reason, long retryAfterMillis) {
  /** Checks that the time is not negative. */
  public Rejection {
    Preconditions.checkArgument(retryAfterMillis >= 0, "retryAfterMillis must not be negative");
  }
}
