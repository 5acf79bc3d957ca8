package org.mustardstage.core.member;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ZoneId;

/**
 * The zones that were not heard of for long. Each VM learns of zones by those it hears itself and
 * by what the representative of its zone reports.
 */
final class SilentZones {
  private final long silentAfterNanos;
  private final Map<ZoneId, Long> heardZoneNanos = new HashMap<>();
  private final Map<RegionId, Long> heardRegionNanos = new HashMap<>();
  private Set<ZoneId> reported = new HashSet<>();

  SilentZones(long silentAfterNanos) {
    this.silentAfterNanos = silentAfterNanos;
  }

  void onHeard(long nowNanos, Member from) {
    heardZoneNanos.put(from.zone(), nowNanos);
    heardRegionNanos.put(from.region(), nowNanos);
  }

  void onReport(List<ZoneId> silentZones) {
    reported = new HashSet<>(silentZones);
  }

  ImmutableSet<ZoneId> reported() {
    return ImmutableSet.copyOf(reported);
  }

  boolean isZoneSilent(long nowNanos, ZoneId zone) {
    return isSilent(nowNanos, heardZoneNanos.computeIfAbsent(zone, key -> nowNanos));
  }

  boolean isRegionSilent(long nowNanos, RegionId region) {
    return isSilent(nowNanos, heardRegionNanos.computeIfAbsent(region, key -> nowNanos));
  }

  private boolean isSilent(long nowNanos, long heardNanos) {
    return nowNanos - heardNanos > silentAfterNanos;
  }
}
