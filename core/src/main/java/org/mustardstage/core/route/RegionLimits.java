package org.mustardstage.core.route;

import com.google.common.base.Preconditions;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.manifest.PlaceLimit;

/**
 * Keeps the attempts that one entry VM sends to each region within the limits of the manifest. At
 * every moment a region with a share has got at most {@code 1 + floor(maxShare * first attempts)}
 * attempts, none when its share is 0, and no more a second than the part of its rate that belongs
 * to this entry VM.
 */
public final class RegionLimits {
  private final Map<RegionId, RegionLimiter> limiters = new HashMap<>();

  /** Creates limits of an entry VM that has {@code 1 / senders} of each rate. */
  public RegionLimits(long nowNanos, List<PlaceLimit> limits, int senders) {
    Preconditions.checkArgument(senders > 0, "senders must be positive");
    for (PlaceLimit limit : limits) {
      double rate = (double) limit.requestsPerSecond() / senders;
      limiters.put(limit.region(), new RegionLimiter(nowNanos, limit.maxShare(), rate));
    }
  }

  /** Counts a first attempt, wherever it goes. */
  public void recordFirstAttempt() {
    limiters.values().forEach(RegionLimiter::recordFirstAttempt);
  }

  /** Returns whether an attempt may go to {@code region}. */
  public boolean maySend(long nowNanos, RegionId region) {
    RegionLimiter allowance = limiters.get(region);
    return allowance == null || allowance.maySend(nowNanos);
  }

  /** Counts an attempt that goes to {@code region}, retries and hedges included. */
  public void recordAttempt(long nowNanos, RegionId region) {
    RegionLimiter allowance = limiters.get(region);
    if (allowance != null) {
      allowance.recordSent(nowNanos);
    }
  }
}
