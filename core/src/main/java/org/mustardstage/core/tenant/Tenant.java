package org.mustardstage.core.tenant;

import com.google.common.base.Preconditions;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.TenantName;

/**
 * A tenant as operators declare it.
 *
 * @param name the name of the tenant, which endpoints are told
 * @param priority the priority of its requests, which replaces that of the routing rule; 0 is the
 *     highest
 * @param allowedRegions the regions that may serve its requests; empty means any
 * @param quota how many requests it may have run; empty means any number
 */
public record Tenant(
    TenantName name,
    OptionalInt priority,
    Set<RegionId> allowedRegions,
    Optional<TenantQuota> quota) {
  /** Copies the set and checks the priority. */
  public Tenant {
    allowedRegions = ImmutableSet.copyOf(allowedRegions);
    Preconditions.checkArgument(
        priority.orElse(0) >= 0, "tenant %s: priority must not be negative: %s", name, priority);
  }

  /** Returns whether its requests may be served in {@code region}. */
  public boolean allowsRegion(RegionId region) {
    return allowedRegions.isEmpty() || allowedRegions.contains(region);
  }
}
