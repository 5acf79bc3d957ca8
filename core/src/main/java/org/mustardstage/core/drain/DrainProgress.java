package org.mustardstage.core.drain;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.mustardstage.core.id.EndpointId;

/** Tracks the progress of each draining endpoint until no request runs there. */
public final class DrainProgress {
  private final long settleNanos;
  private final Map<EndpointId, DrainState> states = new HashMap<>();

  /**
   * Creates a tracker without draining endpoints.
   *
   * @param settleNanos how long no slot must be in use until an endpoint counts as drained; must be
   *     longer than the drain takes to become known to every entry VM
   */
  public DrainProgress(long settleNanos) {
    this.settleNanos = settleNanos;
  }

  /**
   * Updates the states from the plan and the slots that are in use now.
   *
   * @param slotsInUse the number of slots of an endpoint that may still run a request, as far as
   *     known
   */
  public void update(long nowNanos, DrainPlan plan, ToIntFunction<EndpointId> slotsInUse) {
    states.keySet().retainAll(plan.endpoints().keySet());
    for (EndpointId endpoint : plan.endpoints().keySet()) {
      int inUse = slotsInUse.applyAsInt(endpoint);
      DrainState before = states.getOrDefault(endpoint, new DrainState.Draining(nowNanos, inUse));
      states.put(endpoint, before.next(nowNanos, inUse, settleNanos));
    }
  }

  /** Returns the state of {@code endpoint}; empty if it is not draining. */
  public Optional<DrainState> stateOf(EndpointId endpoint) {
    return Optional.ofNullable(states.get(endpoint));
  }

  /** Returns the state of each draining endpoint. */
  public Map<EndpointId, DrainState> states() {
    return ImmutableMap.copyOf(states);
  }

  /** Returns whether all draining endpoints are drained. */
  public boolean isComplete() {
    return states.values().stream().allMatch(DrainState.Drained.class::isInstance);
  }
}
