package org.mustardstage.core.placement;

import org.mustardstage.core.gateway.RegisteredEndpoint;

/** A scheduler's decision on a request. */
public sealed interface PlacementDecision {
  /** Returns the request that was decided. */
  SchedulerRequest request();

  /**
   * The request must be sent to an endpoint now. {@link ServiceScheduler#release} must be called
   * when the attempt has ended.
   *
   * @param request the request
   * @param endpoint the endpoint to send it to
   * @param warmProbability the probability, from 0 to 1, that the endpoint recently handled the
   *     affinity key; 1 only if this VM sent it there or the request has no key
   * @param expectedResponseNanos the expected time from sending to the response
   */
  record Placed(
      SchedulerRequest request,
      RegisteredEndpoint endpoint,
      double warmProbability,
      long expectedResponseNanos)
      implements PlacementDecision {}

  /**
   * The request is rejected without an attempt.
   *
   * @param request the request
   * @param reason why it is rejected
   * @param retryAfterMillis the delay after which a slot is likely to be free
   */
  record Rejected(SchedulerRequest request, RejectionReason reason, long retryAfterMillis)
      implements PlacementDecision {}
}
