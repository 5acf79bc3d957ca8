package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.placement.UsableEndpoint;

/**
 * Guards against a request that runs after its caller was told that it never will, as an endpoint
 * has written a refusal of it again.
 */
@Timeout(60)
class RanAfterRefusalTest extends GatewayTestBed {
  private static final List<String> REFUSALS =
      List.of("503 Full", "429 Busy", "408 Late", "421 Misdirected", "400 Bad");
  private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);
  private static final long WORK_MILLIS = 40;
  private static final String REPLACED_ID = "i-0";

  /** When the copies are written to the connection that has carried the refusal. */
  enum Moment {
    BEFORE_THE_NEXT_REQUEST,
    DURING_THE_WORK,
    WITH_THE_RESPONSE,
    IN_TWO_READS,
    SEVERAL_TIMES
  }

  private final Set<Socket> refusedOn = ConcurrentHashMap.newKeySet();
  private final AtomicInteger runs = new AtomicInteger();

  static Stream<Arguments> refusalsAndMoments() {
    return REFUSALS.stream()
        .flatMap(refusal -> Arrays.stream(Moment.values()).map(m -> Arguments.of(refusal, m)));
  }

  @ParameterizedTest
  @MethodSource("refusalsAndMoments")
  void copyIsNotBelievedWhenAnotherEntryOfTheAddressIsTried(String refusal, Moment moment)
      throws Exception {
    RegisteredEndpoint current = first.registration();
    RegisteredEndpoint replaced =
        new RegisteredEndpoint(
            new EndpointId(REPLACED_ID),
            current.service(),
            current.address(),
            current.zone(),
            current.slots(),
            /* draining= */ false,
            0,
            0);
    publish(ImmutableList.of(new UsableEndpoint(replaced, 0), new UsableEndpoint(current, 0)));
    first.setHandler(
        (request, socket) -> {
          if (request.header("X-Expect-Instance").equals(REPLACED_ID)) {
            refuse(request, socket, refusal, moment);
          } else {
            run(request, socket, refusal, moment);
          }
        });

    assertPromiseIsKept(book("r-1"));
  }

  @ParameterizedTest
  @MethodSource("refusalsAndMoments")
  void copyIsNotBelievedWhenTheCallerRepeatsItsId(String refusal, Moment moment) throws Exception {
    publish(first);
    AtomicInteger received = new AtomicInteger();
    first.setHandler(
        (request, socket) -> {
          if (received.incrementAndGet() == 1) {
            refuse(request, socket, refusal, moment);
          } else {
            run(request, socket, refusal, moment);
          }
        });
    assertThat(book("r-1").statusCode(), is(503));
    // Registered anew, as a misdirected request counts against it.
    publish();
    publish(first);

    assertPromiseIsKept(book("r-1"));
  }

  /** Repeats of one id would otherwise use up the connections that the endpoint accepts. */
  @Test
  void repeatedIdDoesNotAddUpConnections() throws Exception {
    publish(first);
    for (int i = 0; i < 5; i++) {
      assertThat(book("r-1").statusCode(), is(200));
    }

    assertThat(first.receivedRequests().size(), is(5));
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
    while (first.openConnections() > 1 && System.nanoTime() - deadlineNanos < 0) {
      Thread.sleep(10);
    }
    assertThat(first.openConnections(), is(1));
  }

  private void assertPromiseIsKept(HttpResponse<String> response) {
    boolean promise = PROMISES.contains(response.statusCode());
    String seen = "status " + response.statusCode() + " after " + runs + " runs";
    assertThat(seen, promise ? runs.get() == 0 : runs.get() <= 1, is(true));
    assertThat(seen, response.statusCode(), is(200));
  }

  private HttpResponse<String> book(String id) throws Exception {
    return send(request(NON_IDEMPOTENT_PATH).setHeader("X-Request-Id", id));
  }

  private void refuse(
      FakeEndpoint.ReceivedRequest request, Socket socket, String refusal, Moment moment)
      throws IOException, InterruptedException {
    refusedOn.add(socket);
    FakeEndpoint.write(socket, refusalOf(request, refusal));
    if (moment == Moment.BEFORE_THE_NEXT_REQUEST) {
      Thread.sleep(1);
      FakeEndpoint.write(socket, refusalOf(request, refusal));
    }
  }

  private void run(
      FakeEndpoint.ReceivedRequest request, Socket socket, String refusal, Moment moment)
      throws IOException, InterruptedException {
    runs.incrementAndGet();
    for (String part : copies(request, socket, refusal, moment)) {
      FakeEndpoint.write(socket, part);
      Thread.sleep(WORK_MILLIS / 4);
    }
    Thread.sleep(WORK_MILLIS);
    if (refusedOn.contains(socket) && moment == Moment.WITH_THE_RESPONSE) {
      FakeEndpoint.write(socket, refusalOf(request, refusal));
    }
    FakeEndpoint.respondOk(request, socket, "done");
  }

  private List<String> copies(
      FakeEndpoint.ReceivedRequest request, Socket socket, String refusal, Moment moment) {
    List<String> parts = new ArrayList<>();
    if (!refusedOn.contains(socket)) {
      return parts;
    }
    String copy = refusalOf(request, refusal);
    switch (moment) {
      case BEFORE_THE_NEXT_REQUEST, WITH_THE_RESPONSE -> {}
      case DURING_THE_WORK -> parts.add(copy);
      case IN_TWO_READS -> {
        parts.add(copy.substring(0, copy.length() / 2));
        parts.add(copy.substring(copy.length() / 2));
      }
      case SEVERAL_TIMES -> parts.addAll(List.of(copy, copy, copy));
    }
    return parts;
  }

  private static String refusalOf(FakeEndpoint.ReceivedRequest request, String refusal) {
    return "HTTP/1.1 "
        + refusal
        + "\r\nX-Request-Id: "
        + request.header("X-Request-Id")
        + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }
}
