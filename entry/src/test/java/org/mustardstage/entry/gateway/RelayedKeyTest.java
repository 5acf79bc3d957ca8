package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mustardstage.core.gateway.GatewayConfig;
import org.mustardstage.core.id.TenantName;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * Guards against a request that is relayed by a VM which is cut off from the endpoints, and runs
 * without its key, under an older configuration, or as another tenant's.
 */
@Timeout(60)
class RelayedKeyTest {
  private static final String KEY = "secret-of-mill";
  private static final int AVOID_FAILED_MILLIS = 2_100;
  private static final String OTHER_KEY = "other-key";
  private static final TenantName MILL = new TenantName("mill");
  private static final TenantName PRESS = new TenantName("press");
  private static final GatewayConfig SECOND =
      KeyedRequestsTest.configWithTenants(2, Map.of(MILL, List.of(KEY)));

  private final HttpClient client = HttpClient.newHttpClient();
  private FakeEndpoint endpoint;
  private FakeDeployment deployment;
  private CuttableLink link;

  @BeforeEach
  void startEndpoint() throws Exception {
    endpoint = new FakeEndpoint("i-1");
    deployment = new FakeDeployment(List.of(endpoint));
    link = new CuttableLink(endpoint.registration().address());
  }

  /** Starts a VM that is cut off from the endpoint, and one that is not. */
  private void start(GatewayConfig configOfCutVm, GatewayConfig configOfOther) throws Exception {
    deployment.startVm(address -> link.address(), configOfCutVm);
    deployment.startVm(address -> address, configOfOther);
    Thread.sleep(1_500);
    link.cut(CuttableLink.Cut.RESET);
    // Until the VM knows that it is cut off, it may say that the endpoint is unreachable.
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (System.nanoTime() - deadlineNanos < 0) {
      HttpResponse<String> response = call("/open/warm-up", Optional.empty());
      if (response.statusCode() == 200) {
        return;
      }
      if (response.body().equals(NotRunReasons.CUT_OFF)) {
        // The other VM, which refused, is not tried again for a while.
        Thread.sleep(AVOID_FAILED_MILLIS);
        return;
      }
      Thread.sleep(50);
    }
    throw new AssertionError("no request was relayed");
  }

  @AfterEach
  void stop() throws Exception {
    link.close();
    deployment.close();
    endpoint.close();
    client.close();
  }

  private HttpResponse<String> call(String path, Optional<String> key) throws Exception {
    HostAndPort address = deployment.callerAddresses().getFirst();
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .version(HttpClient.Version.HTTP_1_1)
            .header("X-Request-Id", "r-" + path)
            .header("X-Tenant", "forged")
            .header("X-Deadline-Ms", "2000");
    key.ifPresent(value -> request.header("X-Key", value));
    return client.send(request.build(), BodyHandlers.ofString());
  }

  private List<FakeEndpoint.ReceivedRequest> runs(String path) {
    return endpoint.receivedRequests().stream()
        .filter(request -> request.requestLine().contains(path))
        .toList();
  }

  @Test
  void tenantIsKnownAtTheOtherVmAndTheEndpointDoesNotGetTheKey() throws Exception {
    start(SECOND, SECOND);

    assertThat(call("/look/1", Optional.of(KEY)).statusCode(), is(200));
    FakeEndpoint.ReceivedRequest received = runs("/look/1").getFirst();
    assertThat(received.header("X-Tenant"), is("mill"));
    assertThat(received.header(RelayHeader.KEY_HASH_NAME), is(""));
    assertThat(received.headers().toString(), not(containsString("secret")));
    assertThat(call("/look/2", Optional.of(OTHER_KEY)).statusCode(), is(401));
    assertThat(runs("/look/2"), hasSize(0));
  }

  @Test
  void newerConfigurationOfTheOtherVmDecidesWhoseTheKeyIs() throws Exception {
    start(
        KeyedRequestsTest.configWithTenants(1, Map.of(MILL, List.of(KEY, OTHER_KEY))),
        KeyedRequestsTest.configWithTenants(
            2, Map.of(PRESS, List.of(KEY), MILL, List.of("third"))));

    assertThat(call("/look/1", Optional.of(KEY)).statusCode(), is(200));
    assertThat(runs("/look/1").getFirst().header("X-Tenant"), is("press"));
    assertThat(call("/look/2", Optional.of(OTHER_KEY)).statusCode(), is(401));
    assertThat(runs("/look/2"), hasSize(0));
  }

  @Test
  void keyOfARuleThatWasOpenIsNotLost() throws Exception {
    start(KeyedRequestsTest.configWithTenants(1, Map.of()), SECOND);

    assertThat(call("/look/1", Optional.of(KEY)).statusCode(), is(200));
    assertThat(runs("/look/1").getFirst().header("X-Tenant"), is("mill"));
  }

  @Test
  void olderConfigurationOfTheOtherVmDecidesNothing() throws Exception {
    start(SECOND, KeyedRequestsTest.configWithTenants(1, Map.of(PRESS, List.of(KEY))));

    assertThat(call("/look/1", Optional.of(KEY)).statusCode(), is(503));
    assertThat(runs("/look/1"), hasSize(0));
  }

  @Test
  void olderConfigurationWithoutTheKeyDoesNotRejectItForGood() throws Exception {
    start(SECOND, KeyedRequestsTest.configWithTenants(1, Map.of(PRESS, List.of(OTHER_KEY))));

    assertThat(call("/look/1", Optional.of(KEY)).statusCode(), is(503));
  }
}
