package org.mustardstage.core.placement;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import org.mustardstage.core.id.ZoneId;

/**
 * Tracks which zones operators have evacuated.
 *
 * <p>Handles a store that is restored from a copy older than an evacuation: the evacuation is then
 * missing until operators have written it again. An evacuation that goes missing shortly after a
 * restore stays in force for a while, because requests to a zone that is being evacuated harm
 * callers, and a zone that is used again some seconds late does not.
 */
public final class EvacuatedZones {
  /** How long an evacuation stays in force after a restored store no longer has it. */
  private static final long RESTORE_GRACE_NANOS = 10_000_000_000L;

  private final Map<String, ZoneId> zones = new HashMap<>();
  private final Map<String, Long> missingUntilNanos = new HashMap<>();
  private long graceEndNanos = Long.MIN_VALUE / 2;

  /** Records the evacuation that operators declare under {@code key}. */
  public void put(String key, ZoneId zone) {
    zones.put(key, zone);
    missingUntilNanos.remove(key);
  }

  /** Records that the evacuation under {@code key} is no longer declared. */
  public void remove(long nowNanos, String key) {
    if (nowNanos - graceEndNanos < 0 && zones.containsKey(key)) {
      missingUntilNanos.putIfAbsent(key, graceEndNanos);
      return;
    }
    zones.remove(key);
    missingUntilNanos.remove(key);
  }

  /** Records that the store was restored from an older copy. */
  public void onStoreRestored(long nowNanos) {
    graceEndNanos = nowNanos + RESTORE_GRACE_NANOS;
  }

  /** Ends the evacuations that are still missing after the grace period. */
  public void onTick(long nowNanos) {
    missingUntilNanos
        .entrySet()
        .removeIf(
            missing -> {
              boolean ended = nowNanos - missing.getValue() >= 0;
              if (ended) {
                zones.remove(missing.getKey());
              }
              return ended;
            });
  }

  /** Returns the zones whose endpoints must get no requests. */
  public ImmutableSet<ZoneId> zones() {
    return ImmutableSet.copyOf(zones.values());
  }
}
