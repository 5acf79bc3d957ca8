package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards requests that a VM accepted before its SIGTERM and that last until its exit. */
@Timeout(60)
class RequestsAtExitTest {
  /** The VM exits half a second earlier, and the timeout of the rule passes later. */
  private static final Duration STOP_TIME = Duration.ofMillis(1_500);

  private static final int SLOTS = 9;
  private static final Duration CALLER_WAIT = Duration.ofSeconds(4);

  private final HttpClient client = HttpClient.newHttpClient();
  private FakeEndpoint endpoint;
  private FakeDeployment deployment;

  @BeforeEach
  void start() throws Exception {
    endpoint = new FakeEndpoint("i-1");
    deployment = new FakeDeployment(List.of(endpoint));
    deployment.setStop(100, STOP_TIME.toMillis());
    deployment.startVm();
    for (int i = 0; i < 200 && call("/all/ready").join().statusCode() != 200; i++) {
      Thread.sleep(20);
    }
    endpoint.setHandler((request, socket) -> Thread.sleep(10_000));
  }

  @AfterEach
  void stop() throws Exception {
    deployment.close();
    endpoint.close();
    client.shutdownNow();
  }

  private CompletableFuture<HttpResponse<String>> call(String path) {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://" + deployment.callerAddresses().getFirst() + path))
            .version(HttpClient.Version.HTTP_1_1)
            .timeout(CALLER_WAIT)
            .header("X-Request-Id", "r-1")
            .header("X-Deadline-Ms", "30000")
            .POST(BodyPublishers.ofString("x"))
            .build();
    return client.sendAsync(request, BodyHandlers.ofString());
  }

  private void awaitReceived(int count) throws InterruptedException {
    while (endpoint.receivedRequests().size() < count) {
      Thread.sleep(5);
    }
  }

  @Test
  void requestAtAnEndpointGetsAnErrorThatPromisesNothing() throws Exception {
    int before = endpoint.receivedRequests().size();
    CompletableFuture<HttpResponse<String>> once = call(FakeDeployment.ONCE_PREFIX + "1");
    CompletableFuture<HttpResponse<String>> idempotent = call("/all/1");
    awaitReceived(before + 2);

    deployment.stopFirstVm();

    assertThat(once.join().statusCode(), is(502));
    assertThat(once.join().body(), is("VM_STOPPED"));
    assertThat(idempotent.join().statusCode(), is(502));
    assertThat(endpoint.receivedRequests().size(), is(before + 2));
  }

  @Test
  void eachOfManyRequestsGetsAnAnswerThatIsTrue() throws Exception {
    int before = endpoint.receivedRequests().size();
    List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
    for (int i = 0; i < 2 * SLOTS; i++) {
      calls.add(call(FakeDeployment.ONCE_PREFIX + i));
    }
    awaitReceived(before + SLOTS);

    deployment.stopFirstVm();

    List<Integer> statuses = calls.stream().map(each -> each.join().statusCode()).toList();
    int received = endpoint.receivedRequests().size() - before;
    long notRun = statuses.stream().filter(status -> status == 503).count();
    long unknown = statuses.stream().filter(status -> status == 502).count();
    assertThat(notRun + unknown, is(2L * SLOTS));
    assertThat(unknown, is(greaterThanOrEqualTo((long) received)));
  }
}
