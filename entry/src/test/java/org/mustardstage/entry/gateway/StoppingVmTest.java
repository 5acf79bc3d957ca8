package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards requests that arrive while a whole VM stops, between its signal and its exit. */
@Timeout(60)
class StoppingVmTest {
  private static final Duration STOP_TIME = Duration.ofMillis(2_400);

  /** Callers may use lookup responses for longer than the VM accepts requests. */
  private static final Duration LOOKUP_LIFETIME = Duration.ofSeconds(10);

  /** Longer than the time until the exit, and shorter than the timeout of the rule. */
  private static final Duration LONG_WORK = Duration.ofMillis(1_950);

  private final HttpClient client = HttpClient.newHttpClient();
  private final AtomicLong workMillis = new AtomicLong();
  private FakeEndpoint endpoint;
  private FakeDeployment deployment;
  private Thread stopping;

  @BeforeEach
  void start() throws Exception {
    endpoint = new FakeEndpoint("i-1");
    endpoint.setHandler(
        (request, socket) -> {
          Thread.sleep(workMillis.get());
          FakeEndpoint.respondOk(request, socket, "done");
        });
    deployment = new FakeDeployment(List.of(endpoint));
    deployment.setStop(LOOKUP_LIFETIME.toMillis(), STOP_TIME.toMillis());
    deployment.startVm();
    awaitServing();
    stopping = Thread.ofPlatform().start(deployment::stopFirstVm);
    Thread.sleep(100);
  }

  @AfterEach
  void stop() throws Exception {
    stopping.join();
    deployment.close();
    endpoint.close();
    client.close();
  }

  private void awaitServing() throws Exception {
    for (int i = 0; i < 200 && call("/all/ready", 1_000).statusCode() != 200; i++) {
      Thread.sleep(20);
    }
  }

  private HttpResponse<String> call(String path, long deadlineMillis) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://" + deployment.callerAddresses().getFirst() + path))
            .version(HttpClient.Version.HTTP_1_1)
            .header("X-Request-Id", "r-1")
            .header("X-Deadline-Ms", String.valueOf(deadlineMillis))
            .POST(BodyPublishers.ofString("x"))
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  /** Such a request was accepted, and cut by the exit while its endpoint was at work. */
  @Test
  void requestThatMayOutlastTheProcessIsRejectedAtOnce() throws Exception {
    workMillis.set(LONG_WORK.toMillis());
    int receivedBefore = endpoint.receivedRequests().size();
    long sentNanos = System.nanoTime();

    HttpResponse<String> response = call(FakeDeployment.ONCE_PREFIX + "1", 30_000);

    assertThat(response.statusCode(), is(503));
    assertThat(response.body(), is("STOPPING"));
    assertThat(
        Duration.ofNanos(System.nanoTime() - sentNanos), is(lessThan(Duration.ofSeconds(1))));
    assertThat(endpoint.receivedRequests().size(), is(receivedBefore));
  }

  @Test
  void requestThatEndsBeforeTheExitIsServed() throws Exception {
    assertThat(call(FakeDeployment.ONCE_PREFIX + "1", 500).body(), is("done"));
  }
}
