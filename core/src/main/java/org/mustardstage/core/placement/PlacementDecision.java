package org.mustardstage.core.placement;

import org.mustardstage.core.gateway.RegisteredEndpoint;

/** What a scheduler decided about an ask. */
public sealed interface PlacementDecision {
  /** Returns the ask. */
  SchedulerRequest request();

  /**
   * The request is to be sent to an endpoint now; {@link ServiceScheduler#release} ends the use.
   *
   * @param ask the ask
   * @param endpoint the endpoint
   * @param warmOdds how likely the endpoint has handled the object lately, from 0 to 1; 1 only if
   *     this VM sent it there
   * @param expectedNanos how long the answer is expected to take
   */
  record Placed(
      SchedulerRequest request,
      RegisteredEndpoint endpoint,
      double warmProbability,
      long expectedResponseNanos)
      implements PlacementDecision {}

  /**
   * The request can't be served now.
   *
   * @param ask the ask
   * @param reason why
   * @param retryAfterMillis when a slot is likely to be free
   */
  record Rejected(SchedulerRequest request, RejectionReason reason, long retryAfterMillis)
      implements PlacementDecision {}
}
