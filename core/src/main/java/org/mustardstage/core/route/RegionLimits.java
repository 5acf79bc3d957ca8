package org.mustardstage.core.route;

import com.google.common.base.Preconditions;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.manifest.PlaceLimit;

/**
 * Keeps the attempts that one entry VM sends to each region within the {@code placeLimits} of the
 * manifest. At every moment a limited region has received at most {@code 1 + floor(maxShare * first
 * attempts)} attempts, or none if its share is 0, and at most the part of its rate that belongs to
 * this entry VM.
 */
public final class RegionLimits {
  private final Map<RegionId, RegionLimiter> limiters = new HashMap<>();

  /** Creates the limits of one of {@code entryVms} entry VMs, which divide each rate equally. */
  public RegionLimits(long nowNanos, List<PlaceLimit> limits, int entryVms) {
    Preconditions.checkArgument(entryVms > 0, "entryVms must be positive");
    for (PlaceLimit limit : limits) {
      double rate = (double) limit.requestsPerSecond() / entryVms;
      limiters.put(limit.region(), new RegionLimiter(nowNanos, limit.maxShare(), rate));
    }
  }

  /** Counts a first attempt to any region. */
  public void recordFirstAttempt() {
    limiters.values().forEach(RegionLimiter::recordFirstAttempt);
  }

  /** Returns whether an attempt may be sent to {@code region}. */
  public boolean maySend(long nowNanos, RegionId region) {
    RegionLimiter limiter = limiters.get(region);
    return limiter == null || limiter.maySend(nowNanos);
  }

  /** Counts an attempt that is sent to {@code region}; retries and hedges count too. */
  public void recordAttempt(long nowNanos, RegionId region) {
    RegionLimiter limiter = limiters.get(region);
    if (limiter != null) {
      limiter.recordSent(nowNanos);
    }
  }
}
