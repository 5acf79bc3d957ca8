package org.mustardstage.core.gateway;

import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.tenant.TenantDirectory;

/**
 * One version of the configuration that operators declare. A lookup of a rule takes one hash probe
 * for each segment of the path, however many rules a host has.
 */
public final class GatewayConfig {
  private final ConfigVersion version;
  private final CallerLimits callerLimits;
  private final ImmutableMap<ServiceName, ServiceSpec> services;
  private final ImmutableMap<String, ImmutableMap<String, RoutingRule>> rulesByHost;
  private final TenantDirectory tenants;

  /** Creates a configuration without tenants. */
  public GatewayConfig(
      ConfigVersion version,
      CallerLimits callerLimits,
      Collection<ServiceSpec> services,
      Map<String, List<RoutingRule>> rulesByHost) {
    this(version, callerLimits, services, rulesByHost, TenantDirectory.EMPTY);
  }

  /**
   * Creates a configuration.
   *
   * @throws IllegalArgumentException if a host has two rules for one path prefix, or if two
   *     services have the same name
   */
  public GatewayConfig(
      ConfigVersion version,
      CallerLimits callerLimits,
      Collection<ServiceSpec> services,
      Map<String, List<RoutingRule>> rulesByHost,
      TenantDirectory tenants) {
    this.version = version;
    this.tenants = tenants;
    this.callerLimits = callerLimits;
    ImmutableMap.Builder<ServiceName, ServiceSpec> byName = ImmutableMap.builder();
    services.forEach(service -> byName.put(service.name(), service));
    this.services = byName.buildOrThrow();
    Map<String, ImmutableMap<String, RoutingRule>> hosts = new HashMap<>();
    rulesByHost.forEach((host, rules) -> hosts.put(normalize(host), byPathPrefix(rules)));
    this.rulesByHost = ImmutableMap.copyOf(hosts);
  }

  private static ImmutableMap<String, RoutingRule> byPathPrefix(List<RoutingRule> rules) {
    ImmutableMap.Builder<String, RoutingRule> byPathPrefix = ImmutableMap.builder();
    rules.forEach(rule -> byPathPrefix.put(rule.pathPrefix(), rule));
    return byPathPrefix.buildOrThrow();
  }

  /** Returns the version of this configuration. */
  public ConfigVersion version() {
    return version;
  }

  /** Returns the limits on the requests of callers. */
  public CallerLimits callerLimits() {
    return callerLimits;
  }

  /** Returns the declared services. */
  public ImmutableMap<ServiceName, ServiceSpec> services() {
    return services;
  }

  /** Returns the tenants whose callers may send requests. */
  public TenantDirectory tenants() {
    return tenants;
  }

  /** Returns whether any rule is declared for {@code host}. */
  public boolean hasHost(String host) {
    return rulesByHost.containsKey(normalize(host));
  }

  /** Returns the rule of {@code host} with the longest path prefix that matches {@code path}. */
  public Optional<RoutingRule> findRule(String host, String path) {
    ImmutableMap<String, RoutingRule> rules = rulesByHost.get(normalize(host));
    if (rules == null) {
      return Optional.empty();
    }
    for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      RoutingRule rule = rules.get(path.substring(0, end + 1));
      if (rule != null) {
        return Optional.of(rule);
      }
      if (end == 0) {
        break;
      }
    }
    return Optional.empty();
  }

  private static String normalize(String host) {
    int colon = host.lastIndexOf(':');
    boolean hasPort = colon > 0 && host.indexOf(']', colon) < 0;
    return (hasPort ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
  }
}
