package org.mustardstage.core.tenant;

import com.google.common.base.Preconditions;

/**
 * The number of requests that a tenant may have run, summed over all VMs: within any time span,
 * {@code requestsPerSecond} times its length plus {@code burst}.
 *
 * @param requestsPerSecond the sustained rate
 * @param burst how many requests may exceed the rate at once
 */
public record TenantQuota(double requestsPerSecond, double burst) {
  /** Checks the ranges. */
  public TenantQuota {
    Preconditions.checkArgument(
        requestsPerSecond > 0 && requestsPerSecond < 1e9,
        "requests per second of a quota must be in (0, 1e9): %s",
        requestsPerSecond);
    Preconditions.checkArgument(
        burst >= 0 && burst < 1e9, "burst of a quota must be in [0, 1e9): %s", burst);
  }
}
