package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardstage.core.placement.UsableEndpoint;
import org.mustardstage.entry.http.MalformedResponses;

/**
 * Guards callers against endpoints that write a refusal again, or stop in the middle of a response.
 */
@Timeout(60)
class FaultyEndpointTest extends GatewayTestBed {
  private static final String OTHER_REQUEST = "r-0";
  private static final String HEAD =
      """
      HTTP/1.1 200 OK\r
      X-Request-Id: r-1\r
      X-Server-Seal: seal\r
      Content-Length: 400\r
      Content-Type: text/plain\r
      \r
      """;

  /** When an endpoint writes the refusal of an earlier request once more. */
  enum Repetition {
    WITH_THE_REFUSAL,
    BETWEEN_THE_REQUESTS,
    BEFORE_THE_RESPONSE
  }

  @BeforeEach
  void publishOneEndpoint() {
    publish(
        ImmutableMap.of(
            ORDERS, ImmutableList.of(new UsableEndpoint(first.registration(), 0)),
            REPORTS, ImmutableList.of(new UsableEndpoint(first.registration(REPORTS, 9), 0))));
  }

  private static String refusal(Optional<String> requestId) {
    return "HTTP/1.1 503 Full\r\n"
        + requestId.map(id -> "X-Request-Id: " + id + "\r\n").orElse("")
        + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }

  private HttpResponse<String> book(String id) throws Exception {
    return postWithId(NON_IDEMPOTENT_PATH, id);
  }

  /** A refusal that was believed twice told a caller "not run" of a request that was running. */
  @ParameterizedTest
  @EnumSource
  void repeatedRefusalIsNotTakenForThatOfTheNextRequest(Repetition repetition) throws Exception {
    first.setHandler(
        (request, socket) -> {
          String refusal = refusal(Optional.of(OTHER_REQUEST));
          if (request.header("X-Request-Id").equals(OTHER_REQUEST)) {
            FakeEndpoint.write(socket, refusal);
            if (repetition == Repetition.WITH_THE_REFUSAL) {
              FakeEndpoint.write(socket, refusal);
            } else if (repetition == Repetition.BETWEEN_THE_REQUESTS) {
              Thread.sleep(20);
              FakeEndpoint.write(socket, refusal);
            }
            return;
          }
          if (repetition == Repetition.BEFORE_THE_RESPONSE) {
            FakeEndpoint.write(socket, refusal);
          }
          Thread.sleep(50);
          FakeEndpoint.respondOk(request, socket, "done");
        });

    for (int i = 1; i <= 5; i++) {
      assertThat(book(OTHER_REQUEST).statusCode(), is(503));
      Thread.sleep(i * 10L);
      int before = first.receivedRequests().size();

      HttpResponse<String> response = book("r-" + i);

      // A connection on which the repetition arrives may end before it has sent the request.
      assertThat(response.statusCode() == 200 || response.statusCode() == 502, is(true));
      assertThat(first.receivedRequests().size() - before <= 1, is(true));
    }
  }

  /** An endpoint that writes such responses without end would fill the log. */
  @Test
  void responsesToAnotherRequestAreLoggedOnceForAConnection() throws Exception {
    first.setHandler(
        (request, socket) -> {
          FakeEndpoint.write(socket, refusal(Optional.of(OTHER_REQUEST)).repeat(20));
          FakeEndpoint.respondOk(request, socket, "done");
        });
    long before = MalformedResponses.extraCount(MalformedResponses.Peers.ENDPOINTS);

    assertThat(book("r-1").body(), is("done"));

    long logged = MalformedResponses.extraCount(MalformedResponses.Peers.ENDPOINTS) - before;
    assertThat(logged, is(1L));
  }

  /** Without an id, nothing tells which request a refusal belongs to. */
  @Test
  void refusalWithoutIdIsNoPromise() throws Exception {
    first.setHandler((request, socket) -> FakeEndpoint.write(socket, refusal(Optional.empty())));

    assertThat(book("r-1").statusCode(), is(502));
    assertThat(first.receivedRequests().size(), is(1));
  }

  /** A cut head must look like a lost response, wherever it was cut. */
  @ParameterizedTest
  @ValueSource(strings = {NON_IDEMPOTENT_PATH, "/bundles/1"})
  void responseThatEndsWithinItsHeadIsNotForwarded(String path) throws Exception {
    AtomicInteger cut = new AtomicInteger(1);
    first.setHandler((request, socket) -> writeAndClose(socket, HEAD, cut.get()));

    for (; cut.get() < HEAD.length(); cut.addAndGet(3)) {
      // The endpoint is registered anew, as each loss counts against it.
      publish();
      publishOneEndpoint();
      int status = postWithId(path, "r-1").statusCode();
      assertThat("status " + status + " of a head cut at " + cut, status, is(502));
    }
  }

  private static void writeAndClose(Socket socket, String text, int length) throws IOException {
    FakeEndpoint.write(socket, text.substring(0, length));
    socket.close();
  }

  private HttpResponse<String> postWithId(String path, String id) throws Exception {
    return send(request(path).setHeader("X-Request-Id", id));
  }
}
