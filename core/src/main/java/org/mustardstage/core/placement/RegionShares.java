package org.mustardstage.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.mustardstage.core.id.RegionId;

/**
 * Holds the share of one VM's requests that runs in each other region to a slope.
 *
 * <p>Answers the load in which one region has few endpoints and all of them warm up at once: at
 * first most of its requests are better off elsewhere, and a second later none are. The share that
 * is sent follows what placement would choose, but neither rises nor falls faster than the limit; a
 * sum over VMs that each keep to it keeps to it as well. Only demand is held back: when endpoints
 * are lost, their requests move at once.
 */
public final class RegionShares {
  /** The part of the limit that is used; the rest covers single requests and retries. */
  private static final double USED_PART = 0.75;

  /** The weight of one choice in the wished share; about the last second of a VM decides. */
  private static final double WISH_WEIGHT = 0.05;

  /** A region that is this many requests behind its share is owed the next one. */
  private static final double OWED_FROM = 1.5;

  /** A region that didn't get what it is owed, or got more than it was, is remembered so far. */
  private static final double MAX_CREDIT = 3;

  /** By then requests have moved away from endpoints that were lost. */
  private static final long FAILOVER_NANOS = TimeUnit.SECONDS.toNanos(4);

  private final double slopePerNano;
  private final long windowNanos;
  private final double phase;
  private final Map<RegionId, Share> shares = new HashMap<>();
  private long movedNanos = Long.MIN_VALUE / 2;
  private long failoverUntilNanos = Long.MIN_VALUE / 2;

  private static final class Share {
    private double wished;
    private double allowed;

    /** The requests that the region may still get. */
    private double credit;

    Share(double credit) {
      this.credit = credit;
    }
  }

  /**
   * Creates shares of zero.
   *
   * @param phase from 0 to 1: how near the first request is to be sent away; it differs between VMs
   *     so that they don't all begin with the same request
   */
  public RegionShares(MoveLimit limit, double phase) {
    this.phase = phase;
    this.windowNanos = limit.window().toNanos();
    this.slopePerNano = USED_PART * limit.share() / windowNanos;
  }

  /** Takes in where a request would run if there were no limit; empty means the own region. */
  void onWish(long nowNanos, Optional<RegionId> other) {
    other.ifPresent(region -> shares.computeIfAbsent(region, key -> new Share(phase)));
    shares.forEach(
        (region, share) -> {
          double sample = other.filter(region::equals).isPresent() ? 1 : 0;
          share.wished += WISH_WEIGHT * (sample - share.wished);
        });
    follow(nowNanos);
  }

  /** Takes in that endpoints of the own region may not be used any more. */
  void onEndpointsLost(long nowNanos) {
    failoverUntilNanos = nowNanos + FAILOVER_NANOS;
  }

  private boolean isFailover(long nowNanos) {
    return nowNanos - failoverUntilNanos < 0;
  }

  /** Moves the allowed shares towards the wished ones; together they move no more than the step. */
  private void follow(long nowNanos) {
    double step = slopePerNano * Math.min(windowNanos, nowNanos - movedNanos);
    movedNanos = nowNanos;
    double rise = 0;
    double fall = 0;
    for (Share share : shares.values()) {
      double change = share.wished - share.allowed;
      rise += Math.max(0, change);
      fall -= Math.min(0, change);
    }
    for (Share share : shares.values()) {
      double change = share.wished - share.allowed;
      double total = change > 0 ? rise : fall;
      if (change > 0 && isFailover(nowNanos)) {
        share.allowed = share.wished;
      } else if (total > 0) {
        share.allowed += change * Math.min(1, step / total);
      }
    }
  }

  /** Returns whether one more request may be sent to {@code other} now. */
  boolean allows(long nowNanos, RegionId other) {
    if (isFailover(nowNanos)) {
      return true;
    }
    Share share = shares.get(other);
    double credit = share == null ? phase : share.credit + share.allowed;
    return credit >= 1;
  }

  /** Returns the regions that are to get requests although the own one would be chosen. */
  Set<RegionId> owed() {
    Set<RegionId> owed = new HashSet<>();
    shares.forEach(
        (region, share) -> {
          if (share.credit >= OWED_FROM) {
            owed.add(region);
          }
        });
    return owed;
  }

  /** Takes in where a request was sent; empty means the own region. */
  void onPlaced(Optional<RegionId> other) {
    other.ifPresent(region -> shares.computeIfAbsent(region, key -> new Share(phase)));
    shares.forEach(
        (region, share) -> {
          double spent = other.filter(region::equals).isPresent() ? 1 : 0;
          share.credit = Math.clamp(share.credit + share.allowed - spent, -MAX_CREDIT, MAX_CREDIT);
        });
  }
}
