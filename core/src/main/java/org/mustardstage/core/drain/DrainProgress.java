package org.mustardstage.core.drain;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.mustardstage.core.id.EndpointId;

/** Tracks how far each leaving endpoint is on its way to empty. */
public final class DrainProgress {
  private final long settleNanos;
  private final Map<EndpointId, DrainState> states = new HashMap<>();

  /**
   * Creates an empty record.
   *
   * @param settleNanos how long no slot must be in use until an endpoint counts as empty; longer
   *     than the word that it leaves takes to reach each entry VM
   */
  public DrainProgress(long settleNanos) {
    this.settleNanos = settleNanos;
  }

  /**
   * Takes in the plan and the slots in use now.
   *
   * @param slotsInUse the slots of an endpoint that may still run a request, as far as known
   */
  public void update(long nowNanos, DrainPlan plan, ToIntFunction<EndpointId> slotsInUse) {
    states.keySet().retainAll(plan.endpoints().keySet());
    for (EndpointId endpoint : plan.endpoints().keySet()) {
      int inUse = slotsInUse.applyAsInt(endpoint);
      DrainState before = states.getOrDefault(endpoint, new DrainState.Draining(nowNanos, inUse));
      states.put(endpoint, before.next(nowNanos, inUse, settleNanos));
    }
  }

  /** Returns how far {@code endpoint} is, empty when it does not leave. */
  public Optional<DrainState> stateOf(EndpointId endpoint) {
    return Optional.ofNullable(states.get(endpoint));
  }

  /** Returns how far each leaving endpoint is. */
  public Map<EndpointId, DrainState> states() {
    return ImmutableMap.copyOf(states);
  }

  /** Returns whether all leaving endpoints are empty. */
  public boolean isComplete() {
    return states.values().stream().allMatch(DrainState.Drained.class::isInstance);
  }
}
