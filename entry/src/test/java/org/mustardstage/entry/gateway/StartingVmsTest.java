package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * Guards against VMs that have just started, each of which takes itself for the only one and so
 * uses the whole of a bound that holds for all VMs together.
 */
@Timeout(60)
class StartingVmsTest {
  private static final int VMS = 6;

  /** What {@link FakeDeployment} sets as share and reserve of retries. */
  private static final double RETRY_SHARE = 0.2;

  private static final int RETRY_RESERVE = 100;

  private static final double COLD_REQUESTS_PER_SECOND = 17;

  private final HttpClient client = HttpClient.newHttpClient();

  @Test
  void retriesOfVmsThatDoNotKnowEachOtherStayWithinTheBudgetOfAll() throws Exception {
    FakeEndpoint first = new FakeEndpoint("i-1");
    FakeEndpoint second = new FakeEndpoint("i-2");
    first.setHandler((request, socket) -> socket.close());
    second.setHandler((request, socket) -> socket.close());
    int requests = 60 * VMS;
    try (FakeDeployment deployment =
        new FakeDeployment(
            List.of(first.registration(), second.registration()), /* linked= */ false)) {
      callAll(deployment, requests);
    }

    int received = first.receivedRequests().size() + second.receivedRequests().size();
    assertThat(
        received - requests, is(lessThanOrEqualTo((int) (RETRY_SHARE * requests) + RETRY_RESERVE)));
  }

  @Test
  void coldEndpointIsNotOverrunByVmsThatDoNotKnowEachOther() throws Exception {
    FakeEndpoint endpoint = new FakeEndpoint("i-1");
    RegisteredEndpoint warm = endpoint.registration();
    RegisteredEndpoint cold =
        new RegisteredEndpoint(
            warm.id(),
            warm.service(),
            warm.address(),
            warm.zone(),
            warm.slots(),
            /* draining= */ false,
            /* coldRemainingMillis= */ 30_000,
            warm.startTimeMillis());
    long startNanos = System.nanoTime();
    try (FakeDeployment deployment = new FakeDeployment(List.of(cold), /* linked= */ false)) {
      callAll(deployment, 100 * VMS);
    }

    double seconds = (System.nanoTime() - startNanos) / 1e9;
    int allowed = (int) (seconds * 1.5 * COLD_REQUESTS_PER_SECOND) + 5;
    assertThat(endpoint.receivedRequests().size(), is(lessThanOrEqualTo(allowed)));
  }

  private void callAll(FakeDeployment deployment, int requests) throws Exception {
    for (int i = 0; i < VMS; i++) {
      deployment.startVm();
    }
    List<HostAndPort> addresses = deployment.callerAddresses();
    List<CompletableFuture<?>> calls = new ArrayList<>();
    for (int i = 0; i < requests; i++) {
      calls.add(call(addresses.get(i % VMS), i));
      Thread.sleep(2);
    }
    CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new)).join();
  }

  private CompletableFuture<?> call(HostAndPort address, int object) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/" + object))
            .version(HttpClient.Version.HTTP_1_1)
            .header("X-Request-Id", "r-" + object)
            .header("X-Deadline-Ms", "2000")
            .build();
    return client.sendAsync(request, BodyHandlers.discarding()).handle((response, e) -> response);
  }
}
