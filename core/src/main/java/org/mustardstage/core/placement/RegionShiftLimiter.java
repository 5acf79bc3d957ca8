package org.mustardstage.core.placement;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.mustardstage.core.id.RegionId;

/**
 * Limits how much the shares of one VM's requests that run in other regions change from one time
 * window to the next.
 *
 * <p>Prevents requests from swinging between regions when a region has few endpoints and all of
 * them warm up at the same time: at first most of its requests are faster elsewhere, and a second
 * later none are. While the shares of the current window are within the limit of those of the
 * previous window, requests go where they are fastest. Beyond it, they go to the own region or to
 * another one, whichever keeps the shares near those of the previous window. If each VM keeps to
 * the limit, all VMs together do as well. Only changes of demand are limited: when endpoints are
 * lost, their requests move immediately.
 */
public final class RegionShiftLimiter {
  /** The rest of the limit is a reserve for retries and for VMs whose load changes. */
  private static final double USED_SHARE_OF_LIMIT = 0.75;

  /** Time in which the requests of lost endpoints move to other endpoints. */
  private static final long FAILOVER_DURATION_NANOS = 4_000_000_000L;

  /** Resolution of the sliding window. */
  private static final int SLICES_PER_WINDOW = 40;

  /** Shares of a window with fewer requests are not significant. */
  private static final int MIN_WINDOW_REQUESTS = 8;

  private final double maxShift;
  private final double burstAllowance;
  private final long sliceNanos;
  private final SlidingWindowCount totalCount = new SlidingWindowCount();
  private final Map<RegionId, SlidingWindowCount> countByRegion = new HashMap<>();
  private long failoverUntilNanos = Long.MIN_VALUE / 2;

  /** Counts requests of the current window and of the one before it, both ending with a slice. */
  private static final class SlidingWindowCount {
    private final int[] counts = new int[2 * SLICES_PER_WINDOW];
    private long lastSlice;
    private int current;
    private int previous;

    void add(long slice) {
      advanceTo(slice);
      counts[Math.floorMod(slice, counts.length)]++;
      current++;
    }

    /** Returns the number of requests in the window that ends with {@code slice}. */
    int current(long slice) {
      advanceTo(slice);
      return current;
    }

    /** Returns the number of requests in the window before the one that ends with {@code slice}. */
    int previous(long slice) {
      advanceTo(slice);
      return previous;
    }

    private void advanceTo(long slice) {
      if (slice - lastSlice >= counts.length) {
        Arrays.fill(counts, 0);
        current = 0;
        previous = 0;
        lastSlice = slice;
      }
      while (lastSlice < slice) {
        lastSlice++;
        int leavingCurrent = counts[Math.floorMod(lastSlice - SLICES_PER_WINDOW, counts.length)];
        int expiredIndex = Math.floorMod(lastSlice, counts.length);
        current -= leavingCurrent;
        previous += leavingCurrent - counts[expiredIndex];
        counts[expiredIndex] = 0;
      }
    }
  }

  /**
   * Creates a limiter that has seen no requests.
   *
   * @param burstAllowance the part of a request, from 0 to 1, by which this VM may exceed the
   *     limit; differs between VMs so that they don't all send their first request to another
   *     region at the same time
   */
  public RegionShiftLimiter(RegionShiftLimit limit, double burstAllowance) {
    this.maxShift = USED_SHARE_OF_LIMIT * limit.maxShare();
    this.burstAllowance = burstAllowance;
    this.sliceNanos = limit.window().toNanos() / SLICES_PER_WINDOW;
  }

  /** Suspends the limit while the requests of lost endpoints of the own region move elsewhere. */
  void allowFailover(long nowNanos) {
    failoverUntilNanos = nowNanos + FAILOVER_DURATION_NANOS;
  }

  /**
   * Counts a request that was sent to an endpoint.
   *
   * @param other the other region that it was sent to, or empty for the own region
   */
  void recordPlacement(long nowNanos, Optional<RegionId> other) {
    long slice = nowNanos / sliceNanos;
    totalCount.add(slice);
    other.ifPresent(
        region ->
            countByRegion.computeIfAbsent(region, key -> new SlidingWindowCount()).add(slice));
  }

  /** Returns whether the next request may be sent to {@code other}, a region other than the own. */
  boolean allows(long nowNanos, RegionId other) {
    if (nowNanos - failoverUntilNanos < 0) {
      return true;
    }
    long slice = nowNanos / sliceNanos;
    int now = totalCount.current(slice) + 1;
    int before = totalCount.previous(slice);
    countByRegion.computeIfAbsent(other, key -> new SlidingWindowCount());
    double risen = 0;
    for (Map.Entry<RegionId, SlidingWindowCount> each : countByRegion.entrySet()) {
      int sent = each.getValue().current(slice) + (each.getKey().equals(other) ? 1 : 0);
      risen += Math.max(0, sent - expected(each.getValue(), slice, now, before));
    }
    return risen <= maxShift * now + burstAllowance;
  }

  /**
   * Returns the region that must receive the next request because its share would otherwise fall
   * too fast, if there is one.
   */
  Optional<RegionId> requiredRegion(long nowNanos) {
    long slice = nowNanos / sliceNanos;
    int now = totalCount.current(slice) + 1;
    int before = totalCount.previous(slice);
    double fallen = 0;
    double most = 0;
    Optional<RegionId> required = Optional.empty();
    for (Map.Entry<RegionId, SlidingWindowCount> each : countByRegion.entrySet()) {
      double missing =
          expected(each.getValue(), slice, now, before) - each.getValue().current(slice);
      fallen += Math.max(0, missing);
      if (missing > most) {
        most = missing;
        required = Optional.of(each.getKey());
      }
    }
    return fallen > maxShift * now + burstAllowance ? required : Optional.empty();
  }

  /**
   * Returns how many of {@code now} requests a region would receive at its share of the previous
   * window, which had {@code before} requests in total.
   */
  private static double expected(SlidingWindowCount sent, long slice, int now, int before) {
    return before < MIN_WINDOW_REQUESTS ? 0 : (double) now * sent.previous(slice) / before;
  }
}
