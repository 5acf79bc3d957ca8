package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.google.common.collect.ImmutableSet;
import io.activej.http.HttpMethod;
import java.net.InetAddress;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.gateway.WeightedService;
import org.mustardstage.core.http.HeaderList;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.placement.RequestFingerprint;
import org.mustardstage.core.tenant.ApiKeyHash;

/** Guards against a tenant whose requests are blocked because of another one's equal requests. */
class CallerRequestTest {
  private static final ServiceName SERVICE = new ServiceName("orders");

  private static RequestFingerprint fingerprint(Optional<String> key) {
    RoutingRule rule =
        new RoutingRule(
            "rule",
            "/",
            /* idempotent= */ true,
            500,
            1,
            true,
            List.of(new WeightedService(SERVICE, 1)),
            2_000,
            3,
            ImmutableSet.of());
    return new CallerRequest(
            "r-1",
            rule,
            Optional.empty(),
            key.map(ApiKeyHash::of),
            SERVICE,
            Optional.empty(),
            HttpMethod.GET,
            "/",
            new HeaderList(List.of()),
            new byte[0],
            InetAddress.getLoopbackAddress(),
            0,
            0,
            Optional.empty())
        .fingerprint();
  }

  @Test
  void equalRequestsWithDifferentKeysHaveDifferentFingerprints() {
    assertThat(fingerprint(Optional.of("a")), is(fingerprint(Optional.of("a"))));
    assertThat(fingerprint(Optional.of("a")), is(not(fingerprint(Optional.of("b")))));
    assertThat(fingerprint(Optional.of("a")), is(not(fingerprint(Optional.empty()))));
  }

  @Test
  void fingerprintWithoutAKeyIsThatOfEarlierReleases() {
    assertThat(fingerprint(Optional.empty()), is(RequestFingerprint.of("/", "\n", new byte[0])));
  }
}
