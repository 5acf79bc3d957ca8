package org.mustardstage.core.drain;

import com.google.common.base.Preconditions;
import java.util.HashMap;
import java.util.Map;
import org.mustardstage.core.id.EndpointId;

/**
 * Tracks what endpoints report about their own draining. A report that an endpoint drains takes
 * effect at once. A report that it serves takes effect after a hold time in which all its reports
 * say so; the hold time doubles each time the endpoint returns from draining, which damps flapping.
 * Missing reports change nothing.
 */
public final class DrainReports {
  private static final int MAX_HOLD_DOUBLINGS = 5;

  private final long holdNanos;
  private final Map<EndpointId, State> states = new HashMap<>();

  /** Creates a tracker whose shortest hold time is {@code holdNanos}. */
  public DrainReports(long holdNanos) {
    Preconditions.checkArgument(holdNanos > 0, "holdNanos must be positive, found %s", holdNanos);
    this.holdNanos = holdNanos;
  }

  /**
   * Records a report of {@code endpoint}. Returns whether the endpoint started or stopped to count
   * as draining.
   */
  public boolean recordReport(long nowNanos, EndpointId endpoint, boolean draining) {
    State before = states.getOrDefault(endpoint, State.NOT_DRAINING);
    State after =
        draining ? before.afterDrainingReport() : before.afterServingReport(nowNanos, holdNanos);
    states.put(endpoint, after);
    return before.draining() != after.draining();
  }

  /** Returns whether {@code endpoint} counts as draining by its own reports. */
  public boolean isDraining(EndpointId endpoint) {
    return states.getOrDefault(endpoint, State.NOT_DRAINING).draining();
  }

  /** Removes an endpoint that is no longer in the manifest. */
  public void remove(EndpointId endpoint) {
    states.remove(endpoint);
  }

  /**
   * The state of one endpoint.
   *
   * @param draining whether it counts as draining
   * @param returnCount how often it has returned from draining
   * @param recovering whether it counts as draining, but its reports since {@code
   *     recoveryStartNanos} say that it serves
   */
  private record State(
      boolean draining, int returnCount, boolean recovering, long recoveryStartNanos) {
    static final State NOT_DRAINING = new State(false, 0, false, 0);

    State afterDrainingReport() {
      return new State(true, returnCount, false, 0);
    }

    State afterServingReport(long nowNanos, long holdNanos) {
      if (!draining) {
        return this;
      }
      if (!recovering) {
        return new State(true, returnCount, true, nowNanos);
      }
      long requiredHoldNanos = holdNanos << Math.min(returnCount, MAX_HOLD_DOUBLINGS);
      boolean isHoldTimeOver = nowNanos - recoveryStartNanos >= requiredHoldNanos;
      return isHoldTimeOver ? new State(false, returnCount + 1, false, 0) : this;
    }
  }
}
