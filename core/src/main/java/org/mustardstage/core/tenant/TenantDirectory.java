package org.mustardstage.core.tenant;

import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.mustardstage.core.id.TenantName;

/** The tenants of one version of the configuration, and the API keys by which they are known. */
public final class TenantDirectory {
  /** A directory without tenants: no request needs a key. */
  public static final TenantDirectory EMPTY =
      new TenantDirectory(ImmutableMap.of(), ImmutableMap.of());

  private final ImmutableMap<TenantName, Tenant> tenants;
  private final Map<String, Tenant> byKey;

  /**
   * Creates a directory.
   *
   * @param keys the API keys of each tenant
   * @throws IllegalArgumentException if two tenants have the same key; the message does not contain
   *     the key
   */
  public TenantDirectory(
      ImmutableMap<TenantName, Tenant> tenants,
      Map<TenantName, ? extends Collection<String>> keys) {
    this.tenants = tenants;
    Map<String, Tenant> found = new HashMap<>();
    keys.forEach(
        (name, tenantKeys) -> {
          for (String key : tenantKeys) {
            Tenant other = found.put(key, tenants.get(name));
            if (other != null) {
              throw new IllegalArgumentException(
                  String.format("tenants %s and %s have the same API key", other.name(), name));
            }
          }
        });
    this.byKey = found;
  }

  /** Returns whether no tenant is declared, so that no request needs a key. */
  public boolean isEmpty() {
    return tenants.isEmpty();
  }

  /** Returns the declared tenants. */
  public ImmutableMap<TenantName, Tenant> tenants() {
    return tenants;
  }

  /** Returns the tenant that holds {@code key}. */
  public Optional<Tenant> findByKey(String key) {
    return Optional.ofNullable(byKey.get(key));
  }
}
