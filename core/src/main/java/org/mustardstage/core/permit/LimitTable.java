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
 * The limits that an agent knows. A limit that shrinks or leaves the manifest stays here until
 * nothing of it is owned, leased or used: the permits past the limit are never granted or leased
 * again, and those that are out run out.
 */
final class LimitTable {
  private final Map<LimitId, LimitState> statesById = new HashMap<>();
  private long manifestVersion = -1;

  /** Returns the state of the limit, or null when it is not known. */
  LimitState find(LimitId id) {
    return statesById.get(id);
  }

  /** Returns the state of the limit, which may be in no manifest yet. */
  LimitState findOrAdd(LimitId id, ZoneId zone) {
    return statesById.computeIfAbsent(id, key -> new LimitState(key, zone));
  }

  /** Returns all limits. */
  Collection<LimitState> all() {
    return statesById.values();
  }

  /** Returns the version of the manifest in force, or -1. */
  long manifestVersion() {
    return manifestVersion;
  }

  /**
   * Takes over the limits of a manifest and returns those that moved to another zone; their permits
   * may be in use on behalf of the old zone.
   */
  Set<LimitId> update(long newVersion, List<Limit> newLimits) {
    manifestVersion = newVersion;
    Set<LimitId> moved = new HashSet<>();
    Set<LimitId> named = new HashSet<>();
    for (Limit limit : newLimits) {
      named.add(limit.id());
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
      if (!named.contains(state.id)) {
        state.resize(0);
      }
    }
    return moved;
  }

  /** Forgets the limit. */
  void remove(LimitId id) {
    statesById.remove(id);
  }
}
