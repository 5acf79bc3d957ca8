package org.mustardstage.core.quota;

import com.google.common.base.Preconditions;
import java.time.Duration;
import org.mustardstage.core.tenant.TenantQuota;

/**
 * How exactly quotas hold: within any window, at most (rate x window + burst) x (1 + excess) +
 * reserve requests of a tenant run on all VMs together.
 *
 * @param windowNanos the length of the window
 * @param excessShare the share by which a quota may be exceeded
 * @param reserve the number of requests by which any quota may be exceeded besides
 */
public record QuotaSettings(long windowNanos, double excessShare, double reserve) {
  /**
   * The part of the excess that permits may take that are handed out in one window and used in the
   * next; the rest covers the way of a request to its endpoint.
   */
  private static final double HANDED_OUT_SHARE_OF_EXCESS = 0.9;

  /**
   * How long a permit lasts, as a part of the time in which the quota gains what may be handed out.
   * The rest is for uneven demand, as used permits count as handed out until they expire.
   */
  private static final double PERMIT_SHARE_OF_HANDED_OUT = 2.0 / 3;

  private static final long MIN_PERMIT_NANOS = Duration.ofMillis(250).toNanos();
  private static final long MAX_PERMIT_NANOS = Duration.ofSeconds(1).toNanos();

  /** The part of the reserve that lets tenants with small quotas send requests unevenly. */
  private static final double STORED_SHARE_OF_RESERVE = 0.4;

  /** Checks the ranges. */
  public QuotaSettings {
    Preconditions.checkArgument(
        windowNanos > 0, "window of quotas must be positive: %s ns", windowNanos);
    Preconditions.checkArgument(
        excessShare >= 0, "excess share of quotas must not be negative: %s", excessShare);
    Preconditions.checkArgument(
        reserve >= 0, "reserve of quotas must not be negative: %s", reserve);
  }

  /** Returns the settings of deployments that name none. */
  public static QuotaSettings defaults() {
    return new QuotaSettings(Duration.ofSeconds(5).toNanos(), 0.1, 20);
  }

  /** Returns how long a permit may be used after it was asked for. */
  long permitNanos() {
    long nanos = (long) (PERMIT_SHARE_OF_HANDED_OUT * handedOutNanos());
    return Math.max(MIN_PERMIT_NANOS, Math.min(MAX_PERMIT_NANOS, nanos));
  }

  private double handedOutNanos() {
    return HANDED_OUT_SHARE_OF_EXCESS * excessShare * windowNanos;
  }

  /** Returns how many requests may run at once after a time without requests. */
  double capacity(TenantQuota quota) {
    return quota.burst()
        + quota.requestsPerSecond() * handedOutNanos() / 1e9
        + Math.max(1, STORED_SHARE_OF_RESERVE * reserve);
  }
}
