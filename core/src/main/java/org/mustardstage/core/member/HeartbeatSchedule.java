package org.mustardstage.core.member;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;

/** Tells to whom a heartbeat is due. */
final class HeartbeatSchedule {
  private final MembershipSettings settings;
  private long zoneSentNanos = Long.MIN_VALUE / 2;
  private long otherZonesSentNanos = Long.MIN_VALUE / 2;
  private long otherRegionsSentNanos = Long.MIN_VALUE / 2;

  HeartbeatSchedule(MembershipSettings settings) {
    this.settings = settings;
  }

  /** Whom a VM sends heartbeats to: its zone, other zones of its region, other regions. */
  record Targets(List<Member> zone, List<Member> otherZones, List<Member> otherRegions) {
    Targets {
      zone = ImmutableList.copyOf(zone);
      otherZones = ImmutableList.copyOf(otherZones);
      otherRegions = ImmutableList.copyOf(otherRegions);
    }
  }

  void sendAllNow() {
    zoneSentNanos = Long.MIN_VALUE / 2;
    otherZonesSentNanos = Long.MIN_VALUE / 2;
    otherRegionsSentNanos = Long.MIN_VALUE / 2;
  }

  List<Member> due(long nowNanos, LongFunction<Targets> targetsAt) {
    if (nowNanos - zoneSentNanos < settings.minHeartbeatNanos()) {
      return new ArrayList<>();
    }
    Targets targets = targetsAt.apply(nowNanos);
    List<Member> due = new ArrayList<>();
    if (nowNanos - zoneSentNanos >= settings.heartbeatNanos(targets.zone().size() + 1)) {
      due.addAll(targets.zone());
      zoneSentNanos = nowNanos;
    }
    if (nowNanos - otherZonesSentNanos >= settings.zoneHeartbeatNanos()) {
      due.addAll(targets.otherZones());
      otherZonesSentNanos = nowNanos;
    }
    if (nowNanos - otherRegionsSentNanos >= settings.regionHeartbeatNanos()) {
      due.addAll(targets.otherRegions());
      otherRegionsSentNanos = nowNanos;
    }
    return due;
  }
}
