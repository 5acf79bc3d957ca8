package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mustardstage.core.manifest.HostAndPort;

/** Guards requests on their way over a VM that is cut off from the endpoints. */
@Timeout(60)
class RelayTest {
  private static final int VMS = 3;
  private static final int CUT_VM = 0;

  private final HttpClient client = HttpClient.newHttpClient();
  private final AtomicReference<FakeEndpoint.Handler> handler =
      new AtomicReference<>((request, socket) -> FakeEndpoint.respondOk(request, socket, "done"));
  private final List<CuttableLink> linksOfCutVm = new ArrayList<>();
  private FakeEndpoint endpoint;
  private FakeDeployment deployment;

  @BeforeEach
  void startAndCut() throws Exception {
    endpoint = new FakeEndpoint("i-1");
    endpoint.setHandler((request, socket) -> handler.get().handle(request, socket));
    deployment = new FakeDeployment(List.of(endpoint));
    CuttableLink link = new CuttableLink(endpoint.registration().address());
    linksOfCutVm.add(link);
    deployment.startVm(address -> link.address());
    for (int i = 1; i < VMS; i++) {
      deployment.startVm();
    }
    Thread.sleep(1_500);
    link.cut(CuttableLink.Cut.RESET);
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (call("/warm-up") != 200 && System.nanoTime() - deadlineNanos < 0) {
      Thread.sleep(50);
    }
    assertThat(call("/warm-up"), is(200));
  }

  @AfterEach
  void stop() throws Exception {
    for (CuttableLink link : linksOfCutVm) {
      link.close();
    }
    deployment.close();
    endpoint.close();
    client.close();
  }

  private int call(String path) throws IOException, InterruptedException {
    HostAndPort address = deployment.callerAddresses().get(CUT_VM);
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .version(HttpClient.Version.HTTP_1_1)
            .header("X-Request-Id", "r-" + path)
            .header("X-Deadline-Ms", "2000")
            .build();
    return client.send(request, BodyHandlers.discarding()).statusCode();
  }

  @Test
  void relayHeaderAndDeadlineOfTheCallerDoNotReachTheEndpoint() throws Exception {
    call("/seen");
    FakeEndpoint.ReceivedRequest received = endpoint.receivedRequests().getLast();

    assertThat(received.requestLine(), is("GET /seen HTTP/1.1"));
    assertThat(received.header(RelayHeader.NAME), is(""));
    assertThat(received.header("X-Expect-Instance"), is("i-1"));
    long deadlineMillis = Long.parseLong(received.header("X-Deadline-Ms"));
    assertThat("deadline " + deadlineMillis, deadlineMillis < 2_000, is(true));
  }

  @Test
  void endpointStopsWorkWhenTheCallerOfARelayedRequestLeaves() throws Exception {
    CountDownLatch arrived = new CountDownLatch(1);
    CountDownLatch closed = new CountDownLatch(1);
    handler.set(
        (request, socket) -> {
          arrived.countDown();
          if (socket.getInputStream().read() < 0) {
            closed.countDown();
          }
        });
    HostAndPort address = deployment.callerAddresses().get(CUT_VM);
    try (Socket caller = new Socket(address.host(), address.port())) {
      String request =
          """
          GET /long HTTP/1.1
          Host: 127.0.0.1
          X-Request-Id: r-9
          X-Deadline-Ms: 2000

          """
              .replace("\n", "\r\n");
      caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      assertThat(arrived.await(2, TimeUnit.SECONDS), is(true));
    }

    assertThat(closed.await(500, TimeUnit.MILLISECONDS), is(true));
  }

  @Test
  void requestThatMayRunOnceRunsOnceWhenItsAnswerIsLostBehindTheOtherVm() throws Exception {
    int runsBefore = endpoint.receivedRequests().size();
    handler.set((request, socket) -> socket.close());

    assertThat(call(FakeDeployment.ONCE_PREFIX + "1"), is(502));
    assertThat(endpoint.receivedRequests().size() - runsBefore, is(1));
  }

  /** Neither VM knows whether it ran, so neither repeats it nor says that it did not. */
  @Test
  void requestThatMayRunOnceRunsOnceWhenTheEndpointBehindTheOtherVmGoesSilent() throws Exception {
    int runsBefore = endpoint.receivedRequests().size();
    handler.set((request, socket) -> Thread.sleep(TimeUnit.SECONDS.toMillis(5)));

    assertThat(call(FakeDeployment.ONCE_PREFIX + "2"), is(504));
    Thread.sleep(1_000);
    assertThat(endpoint.receivedRequests().size() - runsBefore, is(1));
  }

  @Test
  void requestThatMayBeRepeatedIsSentAgainByTheOtherVmWithinItsAttempts() throws Exception {
    int runsBefore = endpoint.receivedRequests().size();
    handler.set((request, socket) -> socket.close());
    call("/again");
    int runs = endpoint.receivedRequests().size() - runsBefore;

    assertThat(runs, is(greaterThan(0)));
    assertThat("runs: " + runs, runs <= 3, is(true));
  }
}
