package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Checks what an error in the handling of one request does to its response and to the others. */
@Timeout(60)
class RequestFaultTest extends GatewayTestBed {
  private static final int CALLERS = 20;

  private void failOnNoticesOfLeaving() {
    server.setLeavingListener(
        endpoint -> {
          throw new StackOverflowError("thrown by the test");
        });
  }

  private static FakeEndpoint.Handler leaving(String status, String body) {
    return (request, socket) ->
        FakeEndpoint.respond(
            request, socket, status, "X-Server-Seal: seal\r\nServer-Leaving: 1\r\n", body);
  }

  private static FakeEndpoint.Handler leavingWithRefusal() {
    return (request, socket) ->
        FakeEndpoint.respond(
            request,
            socket,
            "503 Service Unavailable",
            "X-Not-Executed: 1\r\nServer-Leaving: 1\r\n",
            "");
  }

  @Test
  void responseThatHasArrivedIsForwarded() throws Exception {
    publish(first);
    failOnNoticesOfLeaving();
    first.setHandler(leaving("200 OK", "booked"));

    HttpResponse<String> response = post(NON_IDEMPOTENT_PATH, "x");

    assertThat(response.statusCode(), is(200));
    assertThat(response.body(), is("booked"));
  }

  /** All arrive in one pass of the event loop, more or less. */
  @Test
  void responsesOfManyRequestsAreForwarded() throws Exception {
    publish(first, second);
    failOnNoticesOfLeaving();
    first.setHandler(leaving("200 OK", "booked"));
    second.setHandler(leaving("200 OK", "booked"));
    try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      List<Future<HttpResponse<String>>> responses = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        String path = "/book/" + i;
        responses.add(callers.submit(() -> post(path, "x")));
      }
      int answered = 0;
      for (Future<HttpResponse<String>> each : responses) {
        answered += each.get(1, TimeUnit.SECONDS).statusCode() == 200 ? 1 : 0;
      }
      assertThat(answered, is(first.receivedRequests().size() + second.receivedRequests().size()));
    }
  }

  @Test
  void serverErrorThatHasArrivedIsForwarded() throws Exception {
    publish(first);
    failOnNoticesOfLeaving();
    first.setHandler(leaving("500 Internal Server Error", "failed"));

    HttpResponse<String> response = get(IDEMPOTENT_PATH);

    assertThat(response.statusCode(), is(500));
    assertThat(response.body(), is("failed"));
  }

  /** The caller must not take the request for one that has not run. */
  @Test
  void requestWhoseEndIsNotKnownIsNotCalledNotRun() throws Exception {
    publish(first);
    failOnNoticesOfLeaving();
    first.setHandler(leavingWithRefusal());

    HttpResponse<String> response = post(NON_IDEMPOTENT_PATH, "x");

    assertThat(response.statusCode(), is(502));
    assertThat(response.body(), is("INTERNAL_ERROR"));
    assertThat(response.headers().firstValue("X-Not-Executed").isPresent(), is(false));
  }

  /** The slots and connections that the failed requests held are free again. */
  @Test
  void laterRequestsAreServed() throws Exception {
    publish(first);
    failOnNoticesOfLeaving();
    first.setHandler(leavingWithRefusal());
    for (int i = 0; i < CALLERS; i++) {
      post(NON_IDEMPOTENT_PATH, "x");
      publish(second);
      publish(first);
    }
    first.setHandler((request, socket) -> FakeEndpoint.respondOk(request, socket, "booked"));

    assertThat(post(NON_IDEMPOTENT_PATH, "x").body(), is("booked"));
  }
}
