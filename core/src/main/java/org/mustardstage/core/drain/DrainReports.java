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
  private static final int MAX_DOUBLINGS = 5;

  private final long holdNanos;
  private final Map<EndpointId, State> states = new HashMap<>();

  /** Creates an empty record whose shortest hold time is {@code holdNanos}. */
  public DrainReports(long holdNanos) {
    Preconditions.checkArgument(holdNanos > 0, "hold time must be positive");
    this.holdNanos = holdNanos;
  }

  /** Takes in what {@code endpoint} said; returns whether that changed if it counts as leaving. */
  public boolean observe(long nowNanos, EndpointId endpoint, boolean draining) {
    State before = states.getOrDefault(endpoint, State.STAYING);
    State after = draining ? before.leaves() : before.stays(nowNanos, holdNanos);
    states.put(endpoint, after);
    return before.leaving() != after.leaving();
  }

  /** Returns whether {@code endpoint} counts as leaving by its own word. */
  public boolean isLeaving(EndpointId endpoint) {
    return states.getOrDefault(endpoint, State.STAYING).leaving();
  }

  /** Forgets an endpoint that the manifest no longer has. */
  public void forget(EndpointId endpoint) {
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
      boolean leaving, int returns, boolean recovering, long recoveringSinceNanos) {
    static final State STAYING = new State(false, 0, false, 0);

    State leaves() {
      return new State(true, returns, false, 0);
    }

    State stays(long nowNanos, long holdNanos) {
      if (!leaving) {
        return this;
      }
      if (!recovering) {
        return new State(true, returns, true, nowNanos);
      }
      long heldNanos = holdNanos << Math.min(returns, MAX_DOUBLINGS);
      boolean trusted = nowNanos - recoveringSinceNanos >= heldNanos;
      return trusted ? new State(false, returns + 1, false, 0) : this;
    }
  }
}
