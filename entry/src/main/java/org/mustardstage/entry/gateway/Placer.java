package org.mustardstage.entry.gateway;

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

  /** Releases the slot that a placement acquired, with the result of the attempt. */
  void release(ServiceName service, PlacementDecision.Placed placed, AttemptResult result);
}
