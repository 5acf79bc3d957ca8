package org.mustardstage.entry.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.oneOf;
import static org.mustardstage.entry.traffic.RefusalRepeater.CUT;
import static org.mustardstage.entry.traffic.RefusalRepeater.ID;
import static org.mustardstage.entry.traffic.RefusalRepeater.REFUSED;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.mustardstage.entry.traffic.FakeEndpoint.ReceivedRequest;
import org.mustardstage.entry.traffic.RefusalRepeater.Moment;

/**
 * Guards callers against an endpoint that writes a refusal again, while the refused request or
 * another one is under way over the same connection. A copy proves nothing about the request that
 * is under way: what it is taken for decides whether a request runs twice, or runs although its
 * caller was promised that it didn't.
 */
@Timeout(60)
class RepeatedRefusalTest {
  private static final int ROUNDS = 3;
  private static final int MAX_ROUNDS = 20;
  private static final int CALLER_REPEATS = 3;

  static Stream<Arguments> refusalsAndMoments() {
    return Stream.of(
            Arguments.of(503, "overloaded"),
            Arguments.of(503, "draining"),
            Arguments.of(503, "deadline"),
            Arguments.of(503, "cancelled"),
            Arguments.of(429, "overloaded"),
            Arguments.of(408, "deadline"),
            Arguments.of(421, "draining"),
            Arguments.of(400, "cancelled"))
        .flatMap(
            refusal ->
                Arrays.stream(Moment.values())
                    .map(moment -> Arguments.of(refusal.get()[0], refusal.get()[1], moment)));
  }

  /** A retry goes to the same address under another endpoint id, over the same connection. */
  @ParameterizedTest
  @MethodSource("refusalsAndMoments")
  void copyPromisesNothing(int status, String code, Moment moment) throws Exception {
    try (RefusalRepeater endpoint = new RefusalRepeater(status, code, moment);
        TestEntryVm entry = startEntry(endpoint)) {
      for (int i = 0; isNeeded(i, endpoint); i++) {
        for (String body : List.of(REFUSED + i, "other" + i)) {
          sendUntilDone(endpoint, entry, body, entry.booking(body));
        }
      }

      assertNothingRanTwice(endpoint);
      assertThat(endpoint.copies(), is(greaterThan(0)));
    }
  }

  @ParameterizedTest
  @MethodSource("refusalsAndMoments")
  void copyPromisesNothingOfRequestsWithKeys(int status, String code, Moment moment)
      throws Exception {
    try (RefusalRepeater endpoint = new RefusalRepeater(status, code, moment);
        TestEntryVm entry = startEntry(endpoint)) {
      String keyPrefix = entry.fetchKeyPrefix();
      for (int i = 0; isNeeded(i, endpoint); i++) {
        for (String body : List.of(REFUSED + i, "other" + i)) {
          HttpRequest.Builder request =
              entry.booking(body).header("Mustardstage-Idempotency-Key", keyPrefix + "/" + body);
          sendUntilDone(endpoint, entry, body, request);
        }
      }

      assertNothingRanTwice(endpoint);
      assertThat(endpoint.copies(), is(greaterThan(0)));
    }
  }

  /** The endpoint closes a connection in the middle of a run, and goes on with the run. */
  @ParameterizedTest
  @MethodSource("refusalsAndMoments")
  void copyBesideAClosedConnectionPromisesNothing(int status, String code, Moment moment)
      throws Exception {
    try (RefusalRepeater endpoint = new RefusalRepeater(status, code, moment);
        TestEntryVm entry = startEntry(endpoint)) {
      for (int i = 0; isNeeded(i, endpoint); i++) {
        sendUntilDone(endpoint, entry, REFUSED + i, entry.booking(REFUSED + i));
        CompletableFuture<HttpResponse<String>> cut = entry.sendAsync(entry.booking(CUT + i));
        sendUntilDone(endpoint, entry, "other" + i, entry.booking("other" + i));
        check(endpoint, CUT + i, cut.join());
      }

      assertNothingRanTwice(endpoint);
      assertThat(endpoint.copies(), is(greaterThan(0)));
    }
  }

  /** Copies reach a retry only if it takes the connection of the attempt that was refused. */
  @Test
  void retryAtTheSameAddressTakesTheSameConnectionWithAnotherRequestId() throws Exception {
    try (RefusalRepeater endpoint =
            new RefusalRepeater(503, "overloaded", Moment.AFTER_THE_NEXT_RESPONSE);
        TestEntryVm entry = startEntry(endpoint)) {
      boolean sameConnection = false;
      for (int i = 0; i < MAX_ROUNDS && !sameConnection; i++) {
        assertThat(entry.sendBooking(REFUSED + i).body(), is("done " + REFUSED + i));

        List<ReceivedRequest> received = endpoint.repeating.received();
        ReceivedRequest first = received.get(received.size() - 2);
        ReceivedRequest second = received.getLast();
        assertThat(second.header(ID), is(not(first.header(ID))));
        sameConnection = second.connectionNumber() == first.connectionNumber();
      }
      assertThat(sameConnection, is(true));
    }
  }

  /** The response to a cancel has no id: only a connection of its own says which it answers. */
  @Test
  void copyOfACancelResponseIsNotTakenForThatOfAnotherCancel() throws Exception {
    try (RefusalRepeater endpoint =
            new RefusalRepeater(503, "overloaded", Moment.BEFORE_THE_NEXT_RUN);
        TestEntryVm entry = startEntry(endpoint)) {
      Set<Integer> cancelConnections = ConcurrentHashMap.newKeySet();
      AtomicInteger cancels = new AtomicInteger();
      endpoint.repeating.setCancelScript(
          (request, response) -> {
            cancels.incrementAndGet();
            cancelConnections.add(request.connectionNumber());
            String text = endpoint.cancelResponse(request);
            response.sendRaw(text);
            for (int i = 0; i < 5; i++) {
              Thread.sleep(2);
              response.sendRaw(text);
            }
          });
      endpoint.repeating.setScript(
          (request, response) -> {
            if (request.body().startsWith("ran")) {
              endpoint.startRun(request);
            }
            response.closeConnection();
          });

      for (int i = 0; i < 4 * ROUNDS; i++) {
        CompletableFuture<HttpResponse<String>> lost = entry.sendAsync(entry.booking("lost" + i));
        CompletableFuture<HttpResponse<String>> ran = entry.sendAsync(entry.booking("ran" + i));

        check(endpoint, "lost" + i, lost.join());
        check(endpoint, "ran" + i, ran.join());
      }

      assertNothingRanTwice(endpoint);
      assertThat(cancels.get(), is(greaterThan(4 * ROUNDS)));
      assertThat(cancelConnections.size(), is(cancels.get()));
    }
  }

  /** A process that has just started knows nothing of what ran at its address before. */
  @Tag("known-red")
  @Test
  void endpointThatRestartedPromisesNothingOfEarlierRuns() throws Exception {
    try (RefusalRepeater endpoint =
            new RefusalRepeater(503, "overloaded", Moment.BEFORE_THE_NEXT_RUN);
        TestEntryVm entry = startEntry(endpoint)) {
      endpoint.repeating.setScript(
          (request, response) -> {
            endpoint.startRun(request);
            endpoint.forgetRequests();
            response.closeConnection();
          });

      check(endpoint, "crash", entry.sendBooking("crash"));

      assertNothingRanTwice(endpoint);
    }
  }

  /** Returns whether to go on: some rounds, and more if no copy met a connection that is used. */
  private static boolean isNeeded(int round, RefusalRepeater endpoint) {
    return round < ROUNDS || (round < MAX_ROUNDS && endpoint.copies() == 0);
  }

  private static TestEntryVm startEntry(RefusalRepeater endpoint) throws IOException {
    return new TestEntryVm(
        "vm-a", TestEntryVm.settings(), endpoint.admission(), home -> Optional.empty());
  }

  /** Sends a request as callers do: again, whenever its response says that it did not run. */
  private static void sendUntilDone(
      RefusalRepeater endpoint, TestEntryVm entry, String body, HttpRequest.Builder request)
      throws InterruptedException {
    for (int i = 0; i < CALLER_REPEATS; i++) {
      HttpResponse<String> response = entry.send(request.copy());
      check(endpoint, body, response);
      if (response.statusCode() == 200 || response.statusCode() == 502) {
        return;
      }
    }
  }

  private static void check(RefusalRepeater endpoint, String body, HttpResponse<String> response)
      throws InterruptedException {
    int status = response.statusCode();
    assertThat(status, is(oneOf(200, 400, 408, 421, 429, 502, 503)));
    if (status == 200) {
      assertThat(response.body(), is("done " + body));
    } else if (status != 502) {
      Thread.sleep(20);
      assertThat("runs of a request told " + status, endpoint.runsOf(body), is(0));
    }
  }

  private static void assertNothingRanTwice(RefusalRepeater endpoint) throws InterruptedException {
    Thread.sleep(50);
    endpoint.runs().forEach((body, runs) -> assertThat(body, runs, is(lessThanOrEqualTo(1))));
  }
}
