package org.mustardstage.entry.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.placement.AttemptResult;
import org.mustardstage.core.placement.PlacementDecision;

/** Chooses the endpoints that run requests. Used on one traffic thread. */
interface Placer {
  /** A placement that is not decided yet. */
  interface PendingPlacement {
    /** Cancels the placement, as the request has ended meanwhile. */
    void cancel();
  }

  /**
   * Requests an endpoint for a request. {@code onDecision} may be called before this method
   * returns, or later.
   */
  PendingPlacement place(PlacementRequest request, Consumer<PlacementDecision> onDecision);

  /** Records the first attempt of a request that is not placed here, which adds to the budget. */
  void recordFirstAttempt(ServiceName service);

  /** Takes one retry from the budget of a service; returns whether there was one. */
  boolean tryAcquireRetry(ServiceName service);

  /**
   * Returns how long after its start an attempt gets a hedge; empty if it gets none.
   *
   * @param expectedMillis the time that the response is expected to take
   * @param remainingMillis the time until the deadline
   */
  OptionalLong hedgeDelayMillis(ServiceName service, long expectedMillis, long remainingMillis);

  /** Places a hedge, if there is an endpoint with a slot to spare and the limits allow it. */
  Optional<PlacementDecision.Placed> placeHedge(PlacementRequest request);

  /** Releases the slot that a placement acquired, with the result of the attempt. */
  void release(ServiceName service, PlacementDecision.Placed placed, AttemptResult result);
}
