package org.mustardstage.core.permit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mustardstage.core.id.ZoneId;

/**
 * The limits that an agent knows. A limit that is reduced or removed from the manifest stays in the
 * table, so that its permits that are owned, leased or in use are still tracked: permits above the
 * limit are never granted or leased again, and their leases and uses run until they end or expire.
 */
final class LimitTable {
  private final Map<LimitId, LimitState> statesById = new HashMap<>();
  private long manifestVersion = -1;

  /** Returns the state of the limit, or null if it is not known. */
  LimitState find(LimitId id) {
    return statesById.get(id);
  }

  /** Returns the state of the limit, and adds it if no manifest has named it yet. */
  LimitState findOrAdd(LimitId id, ZoneId zone) {
    return statesById.computeIfAbsent(id, key -> new LimitState(key, zone));
  }

  /** Returns the state of all limits. */
  Collection<LimitState> all() {
    return statesById.values();
  }

  /** Returns the version of the active manifest, or -1. */
  long manifestVersion() {
    return manifestVersion;
  }

  /**
   * Applies the limits of a manifest, and returns the limits that moved to another zone. Their
   * permits may still be in use on behalf of the previous zone.
   */
  Set<LimitId> update(long newVersion, List<Limit> newLimits) {
    manifestVersion = newVersion;
    Set<LimitId> moved = new HashSet<>();
    Set<LimitId> listed = new HashSet<>();
    for (Limit limit : newLimits) {
      listed.add(limit.id());
      LimitState known = statesById.get(limit.id());
      if (known == null || !known.zone.equals(limit.zone())) {
        LimitState old = known;
        known = new LimitState(limit.id(), limit.zone());
        statesById.put(limit.id(), known);
        if (old != null) {
          moved.add(limit.id());
          known.continueTokens(old);
        }
      }
      known.resize(limit.permits());
    }
    for (LimitState state : new ArrayList<>(statesById.values())) {
      if (!listed.contains(state.id)) {
        state.resize(0);
      }
    }
    return moved;
  }

  /** Removes the limit. */
  void remove(LimitId id) {
    statesById.remove(id);
  }
}
