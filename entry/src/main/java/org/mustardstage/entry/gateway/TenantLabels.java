package org.mustardstage.entry.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.mustardstage.core.tenant.Tenant;

/**
 * Chooses the label under which the requests of a tenant are counted, and bounds the number of
 * labels, however many tenants there are or were: the first ones that send requests have their own,
 * the others share {@link #OTHERS}. Safe on any thread.
 */
final class TenantLabels {
  static final String OTHERS = "(others)";
  static final String NO_TENANT = "";

  private final int maxTenants;
  private final Set<String> labels = new HashSet<>();

  TenantLabels(int maxTenants) {
    this.maxTenants = maxTenants;
  }

  /** Returns the label of a request of {@code tenant}, or of a request that needs no key. */
  synchronized String labelOf(Optional<Tenant> tenant) {
    if (tenant.isEmpty()) {
      return NO_TENANT;
    }
    String name = tenant.get().name().value();
    if (!labels.contains(name) && labels.size() >= maxTenants) {
      return OTHERS;
    }
    labels.add(name);
    return name;
  }
}
