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
 * Detects silent zones and regions: those from which no message arrived within a timeout. A VM
 * knows them from the messages that it receives itself and from the reports of representatives.
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

  private boolean isSilent(long nowNanos, long lastContactNanos) {
    return nowNanos - lastContactNanos > silentAfterNanos;
  }
}
