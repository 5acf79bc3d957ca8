package org.mustardstage.core.drain;

import com.google.common.base.Preconditions;
import java.util.HashMap;
import java.util.Map;
import org.mustardstage.core.id.EndpointId;

/**
 * What endpoints say of themselves about leaving. The word that an endpoint leaves counts at once;
 * the word that it stays counts after it was repeated without contradiction for a hold time, which
 * doubles each time the endpoint changes its mind. Silence changes nothing.
 */
public final class DrainReports {
  private static final int MAX_HOLD_DOUBLINGS = 5;

  private final long holdNanos;
  private final Map<EndpointId, State> states = new HashMap<>();

  /** Creates an empty record whose shortest hold time is {@code holdNanos}. */
  public DrainReports(long holdNanos) {
    Preconditions.checkArgument(holdNanos > 0, "hold time must be positive");
    this.holdNanos = holdNanos;
  }

  /** Takes in what {@code endpoint} said; returns whether that changed if it counts as leaving. */
  public boolean recordReport(long nowNanos, EndpointId endpoint, boolean draining) {
    State before = states.getOrDefault(endpoint, State.NOT_DRAINING);
    State after = draining ? before.afterDrainingReport() : before.afterServingReport(nowNanos, holdNanos);
    states.put(endpoint, after);
    return before.draining() != after.draining();
  }

  /** Returns whether {@code endpoint} counts as leaving by its own word. */
  public boolean isDraining(EndpointId endpoint) {
    return states.getOrDefault(endpoint, State.NOT_DRAINING).draining();
  }

  /** Forgets an endpoint that the manifest no longer has. */
  public void remove(EndpointId endpoint) {
    states.remove(endpoint);
  }

  /**
   * The word of one endpoint.
   *
   * @param leaving whether it counts as leaving
   * @param returns how often it was taken back after leaving
   * @param recovering whether its last word, since {@code recoveringSinceNanos}, is that it stays
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
      long heldNanos = holdNanos << Math.min(returnCount, MAX_HOLD_DOUBLINGS);
      boolean trusted = nowNanos - recoveryStartNanos >= heldNanos;
      return trusted ? new State(false, returnCount + 1, false, 0) : this;
    }
  }
}
