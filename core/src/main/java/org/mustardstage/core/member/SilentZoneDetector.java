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
final class SilentZoneDetector {
  private final long silentAfterNanos;
  private final Map<ZoneId, Long> lastZoneContactNanos = new HashMap<>();
  private final Map<RegionId, Long> lastRegionContactNanos = new HashMap<>();
  private Set<ZoneId> reported = new HashSet<>();

  SilentZoneDetector(long silentAfterNanos) {
    this.silentAfterNanos = silentAfterNanos;
  }

  void recordContact(long nowNanos, Member from) {
    lastZoneContactNanos.put(from.zone(), nowNanos);
    lastRegionContactNanos.put(from.region(), nowNanos);
  }

  void setReported(List<ZoneId> silentZones) {
    reported = new HashSet<>(silentZones);
  }

  ImmutableSet<ZoneId> reported() {
    return ImmutableSet.copyOf(reported);
  }

  boolean isZoneSilent(long nowNanos, ZoneId zone) {
    return isSilent(nowNanos, lastZoneContactNanos.computeIfAbsent(zone, key -> nowNanos));
  }

  boolean isRegionSilent(long nowNanos, RegionId region) {
    return isSilent(nowNanos, lastRegionContactNanos.computeIfAbsent(region, key -> nowNanos));
  }

  private boolean isSilent(long nowNanos, long heardNanos) {
    return nowNanos - heardNanos > silentAfterNanos;
  }
}
