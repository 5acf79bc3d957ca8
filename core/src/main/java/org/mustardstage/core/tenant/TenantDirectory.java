package org.mustardstage.core.tenant;

import com.google.common.base.Preconditions;
import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.mustardstage.core.id.TenantName;

/**
 * The tenants of one version of the configuration, and the API keys by which they are known. A
 * lookup hashes the key and takes one hash probe, however many keys there are, and holds no key.
 */
public final class TenantDirectory {
  /** A directory without tenants: no request needs a key. */
  public static final TenantDirectory EMPTY =
      new TenantDirectory(ImmutableMap.of(), ImmutableMap.of());

  private final ImmutableMap<TenantName, Tenant> tenants;
  private final ImmutableMap<ApiKeyHash, Tenant> byKeyHash;

  /**
   * Creates a directory.
   *
   * @param keys the API keys of each tenant
   * @throws IllegalArgumentException if a key is invalid, belongs to two tenants or is given twice,
   *     or if a tenant with keys is not declared; the message does not contain the key
   */
  public TenantDirectory(
      ImmutableMap<TenantName, Tenant> tenants,
      Map<TenantName, ? extends Collection<String>> keys) {
    this.tenants = tenants;
    Map<ApiKeyHash, Tenant> found = new HashMap<>();
    keys.forEach(
        (name, tenantKeys) -> {
          Tenant tenant = tenants.get(name);
          Preconditions.checkArgument(
              tenant != null, "tenant %s has API keys but is not declared", name);
          for (String key : tenantKeys) {
            Tenant other = found.put(ApiKeyHash.of(key), tenant);
            if (other != null) {
              throw new IllegalArgumentException(
                  String.format("tenants %s and %s have the same API key", other.name(), name));
            }
          }
        });
    this.byKeyHash = ImmutableMap.copyOf(found);
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
    return ApiKeyHash.isValidKey(key) ? findByKeyHash(ApiKeyHash.of(key)) : Optional.empty();
  }

  /** Returns the tenant that holds the key with {@code hash}. */
  public Optional<Tenant> findByKeyHash(ApiKeyHash hash) {
    return Optional.ofNullable(byKeyHash.get(hash));
  }

  /** Returns the number of keys of all tenants. */
  public int keyCount() {
    return byKeyHash.size();
  }
}
