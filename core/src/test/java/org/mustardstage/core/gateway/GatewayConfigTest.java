package org.mustardstage.core.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;

class GatewayConfigTest {
  private static final ServiceName SERVICE = new ServiceName("orders");

  private final GatewayConfig config =
      new GatewayConfig(
          new ConfigVersion(3),
          new CallerLimits(16_384, 1 << 20, 3_000, 15_000),
          List.of(new ServiceSpec(SERVICE, "/health", 700, 3_000, 17)),
          Map.of("Shop.example", List.of(rule("all", "/a/"), rule("deep", "/a/b/"))));

  @Test
  void longestPathPrefixWins() {
    assertThat(ruleName("shop.example", "/a/b/c"), is(Optional.of("deep")));
    assertThat(ruleName("shop.example", "/a/bc"), is(Optional.of("all")));
    assertThat(ruleName("shop.example", "/a/b/"), is(Optional.of("deep")));
  }

  @Test
  void hostMatchIgnoresCaseAndPort() {
    assertThat(ruleName("SHOP.example:8080", "/a/x"), is(Optional.of("all")));
  }

  @Test
  void otherPathsAndHostsHaveNoRule() {
    assertThat(ruleName("shop.example", "/"), is(Optional.empty()));
    assertThat(ruleName("shop.example", "/a"), is(Optional.empty()));
    assertThat(ruleName("other.example", "/a/x"), is(Optional.empty()));
  }

  private Optional<String> ruleName(String host, String path) {
    return config.findRule(host, path).map(RoutingRule::name);
  }

  private static RoutingRule rule(String name, String prefix) {
    return new RoutingRule(
        name,
        prefix,
        true,
        300,
        2,
        true,
        List.of(new WeightedService(SERVICE, 1)),
        1_200,
        2,
        Set.<RegionId>of());
  }
}
