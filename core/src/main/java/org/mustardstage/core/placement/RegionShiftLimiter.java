package org.mustardstage.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.mustardstage.core.id.RegionId;

/**
 * Holds how much the shares of one VM's requests that run in other regions change from one window
 * of time to the next.
 *
 * <p>Answers the load in which one region has few endpoints and all of them warm up at once: at
 * first most of its requests are better off elsewhere, and a second later none are. As long as the
 * shares of the last window are within the limit of those of the window before, requests go where
 * they are best off; beyond it they stay, or are sent away, as most others were. A sum over VMs
 * that each keep to the limit keeps to it as well. Only demand is held back: when endpoints are
 * lost, their requests move at once.
 */
public final class RegionShiftLimiter {
  /** The part of the limit that is used; the rest covers repeats and VMs whose load changes. */
  private static final double USED_PART = 0.75;

  /** By then requests have moved away from endpoints that were lost. */
  private static final long FAILOVER_NANOS = 4_000_000_000L;

  /** A window is counted in this many slices. */
  private static final int SLICES = 40;

  /** A window with fewer requests says nothing about the shares. */
  private static final int MIN_BEFORE = 8;

  private final double cap;
  private final double phase;
  private final long sliceNanos;
  private final SlicedCount all = new SlicedCount();
  private final Map<RegionId, SlicedCount> byRegion = new HashMap<>();
  private long failoverUntilNanos = Long.MIN_VALUE / 2;

  /** Counts requests of the last two windows. */
  private static final class SlicedCount {
    private final int[] counts = new int[2 * SLICES];
    private final long[] slices = new long[2 * SLICES];

    void add(long slice) {
      int place = Math.floorMod(slice, counts.length);
      if (slices[place] != slice) {
        slices[place] = slice;
        counts[place] = 0;
      }
      counts[place]++;
    }

    /** Returns the sum of a window that ends with {@code last}. */
    int sum(long last) {
      int sum = 0;
      for (int place = 0; place < counts.length; place++) {
        sum += slices[place] <= last && slices[place] > last - SLICES ? counts[place] : 0;
      }
      return sum;
    }
  }

  /**
   * Creates shares of zero.
   *
   * @param phase from 0 to 1: the part of a request by which this VM may pass the limit; it differs
   *     between VMs so that they don't all send their first request away at once
   */
  public RegionShiftLimiter(RegionShiftLimit limit, double phase) {
    this.cap = USED_PART * limit.maxShare();
    this.phase = phase;
    this.sliceNanos = limit.window().toNanos() / SLICES;
  }

  /** Takes in that endpoints of the own region may not be used any more. */
  void onEndpointsLost(long nowNanos) {
    failoverUntilNanos = nowNanos + FAILOVER_NANOS;
  }

  /** Takes in where a request was sent; empty means the own region. */
  void onPlaced(long nowNanos, Optional<RegionId> other) {
    long slice = nowNanos / sliceNanos;
    all.add(slice);
    other.ifPresent(
        region -> byRegion.computeIfAbsent(region, key -> new SlicedCount()).add(slice));
  }

  /** Returns whether one more request may be sent to {@code other}, another region, now. */
  boolean allows(long nowNanos, RegionId other) {
    if (nowNanos - failoverUntilNanos < 0) {
      return true;
    }
    long slice = nowNanos / sliceNanos;
    int now = all.sum(slice) + 1;
    int before = all.sum(slice - SLICES);
    byRegion.computeIfAbsent(other, key -> new SlicedCount());
    double risen = 0;
    for (Map.Entry<RegionId, SlicedCount> each : byRegion.entrySet()) {
      int sent = each.getValue().sum(slice) + (each.getKey().equals(other) ? 1 : 0);
      risen += Math.max(0, sent - expected(each.getValue(), slice, now, before));
    }
    return risen <= cap * now + phase;
  }

  /**
   * Returns the region that gets the next request lest its share falls too fast, if there is one.
   */
  Optional<RegionId> owed(long nowNanos) {
    long slice = nowNanos / sliceNanos;
    int now = all.sum(slice) + 1;
    int before = all.sum(slice - SLICES);
    double fallen = 0;
    double most = 0;
    Optional<RegionId> owed = Optional.empty();
    for (Map.Entry<RegionId, SlicedCount> each : byRegion.entrySet()) {
      double missing = expected(each.getValue(), slice, now, before) - each.getValue().sum(slice);
      fallen += Math.max(0, missing);
      if (missing > most) {
        most = missing;
        owed = Optional.of(each.getKey());
      }
    }
    return fallen > cap * now + phase ? owed : Optional.empty();
  }

  /**
   * Returns the requests that a region would get of {@code now} at its share of the last window.
   */
  private static double expected(SlicedCount sent, long slice, int now, int before) {
    return before < MIN_BEFORE ? 0 : (double) now * sent.sum(slice - SLICES) / before;
  }
}
