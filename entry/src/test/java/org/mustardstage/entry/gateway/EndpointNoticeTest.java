package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.placement.EndpointLimits;
import org.mustardstage.core.placement.UsableEndpoint;

/**
 * Guards against requests to endpoints that have said in a response that they are leaving or want
 * no requests for a time, and against refusals that promise more than is known.
 */
@Timeout(60)
class EndpointNoticeTest extends GatewayTestBed {
  private static FakeEndpoint.Handler refusing(String headers) {
    return (request, socket) ->
        FakeEndpoint.respond(
            request, socket, "503 Service Unavailable", "X-Not-Executed: 1\r\n" + headers, "");
  }

  @Test
  void leavingEndpointGetsNoFurtherRequestsAndIsReported() throws Exception {
    List<EndpointId> reported = new CopyOnWriteArrayList<>();
    server.setLeavingListener(endpoint -> reported.add(endpoint.id()));
    publish(first);
    first.setHandler(
        (request, socket) ->
            FakeEndpoint.respond(
                request, socket, "200 OK", "X-Server-Seal: s\r\nServer-Leaving: 1\r\n", "last"));
    assertThat(get(IDEMPOTENT_PATH).body(), is("last"));
    publish(first, second);
    first.setHandler((request, socket) -> FakeEndpoint.respondOk(request, socket, "first"));
    second.setHandler((request, socket) -> FakeEndpoint.respondOk(request, socket, "second"));

    for (int i = 0; i < 20; i++) {
      assertThat(get("/look/" + i).body(), is("second"));
    }
    assertThat(reported, contains(new EndpointId("i-1")));
  }

  /** A probe is sent after the loss of a connection. */
  @Test
  void coldnessInTheResponseToAProbeIsReported() throws Exception {
    BlockingQueue<Duration> reported = new LinkedBlockingQueue<>();
    server.setColdnessListener((endpoint, coldRemaining) -> reported.add(coldRemaining));
    publish(first);
    first.setHealthHeaders("X-Cold-Ms: 2500\r\n");
    first.setHandler((request, socket) -> socket.close());
    post(NON_IDEMPOTENT_PATH, "x");

    assertThat(reported.poll(5, TimeUnit.SECONDS), is(Duration.ofMillis(2_500)));
  }

  @Test
  void laterIncarnationOfALeavingEndpointIsUsed() throws Exception {
    publish(first);
    first.setHandler(
        (request, socket) ->
            FakeEndpoint.respond(
                request, socket, "200 OK", "X-Server-Seal: s\r\nServer-Leaving: 1\r\n", "last"));
    get(IDEMPOTENT_PATH);
    assertThat(get(IDEMPOTENT_PATH).statusCode(), is(503));

    RegisteredEndpoint before = first.registration();
    publish(
        ImmutableList.of(
            new UsableEndpoint(
                new RegisteredEndpoint(
                    before.id(),
                    before.service(),
                    before.address(),
                    before.zone(),
                    before.slots(),
                    /* draining= */ false,
                    0,
                    before.startTimeMillis() + 1),
                0)));
    assertThat(get(IDEMPOTENT_PATH).body(), is("last"));
  }

  /** Another endpoint has the address, and what it says of itself is taken for the first one's. */
  @Test
  void noticeOfAnotherEndpointAtTheAddressIsNotAppliedToTheExpectedOne() throws Exception {
    List<EndpointId> reported = new CopyOnWriteArrayList<>();
    server.setLeavingListener(endpoint -> reported.add(endpoint.id()));
    publish(first);
    first.setHandler(
        (request, socket) ->
            FakeEndpoint.respond(
                request, socket, "421 Misdirected Request", "Server-Leaving: 1\r\n", ""));

    assertThat(get(IDEMPOTENT_PATH).statusCode(), is(503));

    assertThat(reported, empty());
  }

  @Test
  void unreadableLimitIsIgnored() throws Exception {
    List<EndpointLimits.Report> reported = new CopyOnWriteArrayList<>();
    server.setLimitListener(reported::add);
    publish(first);
    for (String value : List.of("few", "-1", "NaN", "Infinity", "")) {
      first.setHandler(
          (request, socket) ->
              FakeEndpoint.respond(
                  request,
                  socket,
                  "200 OK",
                  "X-Server-Seal: s\r\nServer-Limit: " + value + "\r\n",
                  "done"));
      assertThat(get(IDEMPOTENT_PATH).statusCode(), is(200));
    }

    assertThat(reported, empty());
  }

  @Test
  void restingEndpointGetsNothingUntilTheEndOfItsTime() throws Exception {
    publish(first);
    first.setHandler(refusing("Retry-After: 1.5\r\n"));
    second.setHandler((request, socket) -> FakeEndpoint.respondOk(request, socket, "second"));
    assertThat(get(IDEMPOTENT_PATH).statusCode(), is(503));
    publish(first, second);
    int received = first.receivedRequests().size();
    long startNanos = System.nanoTime();
    while (System.nanoTime() - startNanos < 1_300_000_000L) {
      assertThat(get("/look/" + System.nanoTime()).body(), is("second"));
    }
    assertThat(first.receivedRequests(), hasSize(received));

    first.setHandler((request, socket) -> FakeEndpoint.respondOk(request, socket, "first"));
    publish(first);
    Thread.sleep(300);
    assertThat(get(IDEMPOTENT_PATH).body(), is("first"));
  }

  @Test
  void callerIsToldToReturnWhenTheRestEnds() throws Exception {
    publish(first);
    first.setHandler(refusing("Retry-After: 4\r\n"));
    get(IDEMPOTENT_PATH);

    var response = get(IDEMPOTENT_PATH);

    assertThat(response.statusCode(), is(503));
    double seconds = Double.parseDouble(response.headers().firstValue("Retry-After").orElseThrow());
    assertThat(seconds, closeTo(4, 0.5));
    assertThat(first.receivedRequests(), hasSize(1));
  }

  @Test
  void unreadableTimeIsIgnored() throws Exception {
    for (String value : List.of("soon", "-3", "NaN", "1e999", "")) {
      publish(first, second);
      first.setHandler(refusing("Retry-After: " + value + "\r\n"));
      second.setHandler((request, socket) -> FakeEndpoint.respondOk(request, socket, "second"));
      assertThat(get(IDEMPOTENT_PATH).statusCode(), is(200));
    }
  }

  /** Guards against an unexpected error on the traffic thread that takes the process down. */
  @Test
  void unexpectedErrorEndsNoOtherRequest() throws Exception {
    server.setLeavingListener(
        endpoint -> {
          throw new IllegalStateException("test");
        });
    publish(first);
    first.setHandler(
        (request, socket) ->
            FakeEndpoint.respond(
                request, socket, "200 OK", "X-Server-Seal: s\r\nServer-Leaving: 1\r\n", "last"));
    assertThat(get(IDEMPOTENT_PATH).statusCode(), is(greaterThan(0)));

    publish(second);
    for (int i = 0; i < 5; i++) {
      assertThat(get(IDEMPOTENT_PATH).statusCode(), is(200));
    }
  }

  /** An endpoint's 503 without the header that says so does not promise that nothing ran. */
  @Test
  void refusalThatMayHaveRunIsNotForwardedAsAPromise() throws Exception {
    publish(first);
    first.setHandler(
        (request, socket) ->
            FakeEndpoint.respond(
                request, socket, "503 Service Unavailable", "X-Server-Seal: s\r\n", ""));

    assertThat(post(NON_IDEMPOTENT_PATH, "x").statusCode(), is(502));
  }

  /** A late second copy of a refusal without an id must not end a request that is running. */
  @Test
  void refusalWithoutTheRequestsIdIsNotBelieved() throws Exception {
    publish(first);
    first.setHandler(EndpointNoticeTest::refuseWithoutId);

    assertThat(post(NON_IDEMPOTENT_PATH, "x").statusCode(), is(502));
    assertThat(first.receivedRequests().size(), is(greaterThan(0)));
  }

  private static void refuseWithoutId(FakeEndpoint.ReceivedRequest request, Socket socket)
      throws IOException {
    FakeEndpoint.write(
        socket,
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  }
}
