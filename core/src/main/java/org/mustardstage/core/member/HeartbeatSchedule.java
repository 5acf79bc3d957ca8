package org.mustardstage.core.member;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;

/**
 * Decides which members get a heartbeat now. Each class of targets has its own interval: VMs of the
 * own zone, other zones of the region, and other regions.
 */
final class HeartbeatSchedule {
  private final MembershipSettings settings;
  private long lastZoneNanos = Long.MIN_VALUE / 2;
  private long lastOtherZonesNanos = Long.MIN_VALUE / 2;
  private long lastOtherRegionsNanos = Long.MIN_VALUE / 2;

  HeartbeatSchedule(MembershipSettings settings) {
    this.settings = settings;
  }

  /** The members that a VM sends heartbeats to, by distance. */
  record Targets(List<Member> zone, List<Member> otherZones, List<Member> otherRegions) {
    Targets {
      zone = ImmutableList.copyOf(zone);
      otherZones = ImmutableList.copyOf(otherZones);
      otherRegions = ImmutableList.copyOf(otherRegions);
    }
  }

  void makeAllDue() {
    lastZoneNanos = Long.MIN_VALUE / 2;
    lastOtherZonesNanos = Long.MIN_VALUE / 2;
    lastOtherRegionsNanos = Long.MIN_VALUE / 2;
  }

  List<Member> pollDueTargets(long nowNanos, LongFunction<Targets> targetsAt) {
    if (nowNanos - lastZoneNanos < settings.minHeartbeatIntervalNanos()) {
      return new ArrayList<>();
    }
    Targets targets = targetsAt.apply(nowNanos);
    List<Member> due = new ArrayList<>();
    if (nowNanos - lastZoneNanos >= settings.heartbeatIntervalNanos(targets.zone().size() + 1)) {
      due.addAll(targets.zone());
      lastZoneNanos = nowNanos;
    }
    if (nowNanos - lastOtherZonesNanos >= settings.otherZoneHeartbeatIntervalNanos()) {
      due.addAll(targets.otherZones());
      lastOtherZonesNanos = nowNanos;
    }
    if (nowNanos - lastOtherRegionsNanos >= settings.otherRegionHeartbeatIntervalNanos()) {
      due.addAll(targets.otherRegions());
      lastOtherRegionsNanos = nowNanos;
    }
    return due;
  }
}
