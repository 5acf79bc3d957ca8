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
  private long lastZoneHeartbeatNanos = Long.MIN_VALUE / 2;
  private long lastOtherZonesHeartbeatNanos = Long.MIN_VALUE / 2;
  private long lastOtherRegionsHeartbeatNanos = Long.MIN_VALUE / 2;

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
    lastZoneHeartbeatNanos = Long.MIN_VALUE / 2;
    lastOtherZonesHeartbeatNanos = Long.MIN_VALUE / 2;
    lastOtherRegionsHeartbeatNanos = Long.MIN_VALUE / 2;
  }

  List<Member> pollDueTargets(long nowNanos, LongFunction<Targets> targetsAt) {
    if (nowNanos - lastZoneHeartbeatNanos < settings.minHeartbeatIntervalNanos()) {
      return new ArrayList<>();
    }
    Targets targets = targetsAt.apply(nowNanos);
    List<Member> due = new ArrayList<>();
    if (nowNanos - lastZoneHeartbeatNanos
        >= settings.heartbeatIntervalNanos(targets.zone().size() + 1)) {
      due.addAll(targets.zone());
      lastZoneHeartbeatNanos = nowNanos;
    }
    if (nowNanos - lastOtherZonesHeartbeatNanos >= settings.otherZoneHeartbeatIntervalNanos()) {
      due.addAll(targets.otherZones());
      lastOtherZonesHeartbeatNanos = nowNanos;
    }
    if (nowNanos - lastOtherRegionsHeartbeatNanos >= settings.otherRegionHeartbeatIntervalNanos()) {
      due.addAll(targets.otherRegions());
      lastOtherRegionsHeartbeatNanos = nowNanos;
    }
    return due;
  }
}
