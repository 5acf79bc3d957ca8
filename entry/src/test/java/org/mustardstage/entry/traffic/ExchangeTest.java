package org.mustardstage.entry.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.mustardstage.entry.traffic.TestBed.await;
import static org.mustardstage.entry.traffic.TrafficServerTest.assertOutcome;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mustardstage.entry.control.UseEnd.Result;

/** Deadlines, callers that leave, late answers and stops. */
@Timeout(60)
class ExchangeTest {
  @AutoClose private final TestBed bed = TestBed.start();
  private final TestEntryVm entry = bed.entry;
  private final CountDownLatch release = new CountDownLatch(1);

  @Test
  void bookingInFlightAtItsDeadlineIsUnknownAndCancelled() throws InterruptedException {
    bed.first.setScript((request, exchange) -> awaitRelease());

    assertOutcome(
        entry.send(entry.booking("x").header("Mustardstage-Deadline-Millis", "200")),
        502,
        "outcome-unknown",
        "deadline-passed-in-flight");
    await(() -> bed.admission.results().equals(List.of(Result.CANCELLED)));
    assertThat(bed.first.cancels(), hasSize(1));
  }

  @Test
  void permitUseResultIsUnknownWhenTheCancelIsNotConfirmed() throws InterruptedException {
    bed.first.setCancelState("running");
    bed.first.setScript((request, exchange) -> awaitRelease());

    entry.send(entry.booking("x").header("Mustardstage-Deadline-Millis", "200"));

    await(() -> bed.admission.results().equals(List.of(Result.UNKNOWN)));
  }

  @Test
  void requestIsNotSentAfterItsPermitExpired() {
    bed.admission.expirePermitsEarly(TimeUnit.MILLISECONDS.toNanos(TestEntryVm.DEADLINE_MILLIS));

    assertOutcome(entry.sendBooking("x"), 503, "not-run", "no-endpoint");
    assertThat(bed.first.received(), hasSize(0));
    assertThat(bed.admission.results(), contains(Result.NEVER_SENT, Result.NEVER_SENT));
  }

  @Test
  void lateResponseIsNotDeliveredToAnotherRequest() throws InterruptedException {
    bed.first.setScript(
        (request, exchange) -> {
          if (request.body().equals("late")) {
            awaitRelease();
          }
          exchange.respondOk("to " + request.body());
        });
    entry.send(entry.booking("late").header("Mustardstage-Deadline-Millis", "200"));
    release.countDown();

    for (int i = 0; i < 20; i++) {
      assertThat(entry.sendBooking("roll " + i).body(), is("to roll " + i));
    }
  }

  @Test
  void connectionOfTimedOutRequestIsNotReused() {
    bed.first.setScript(
        (request, exchange) -> {
          if (request.body().equals("late")) {
            awaitRelease();
          }
          exchange.respondOk("done");
        });
    entry.send(entry.booking("late").header("Mustardstage-Deadline-Millis", "200"));
    entry.sendBooking("next");

    int given = bed.first.received().get(0).connection();
    int next = bed.first.received().get(1).connection();
    assertThat(given == next, is(false));
  }

  @Test
  void callerDisconnectCancelsTheRequest() throws Exception {
    bed.first.setScript((request, exchange) -> awaitRelease());
    try (Socket caller = entry.connect()) {
      send(caller, "POST /bookings HTTP/1.1\r\nMustardstage-Service: desk\r\n\r\n");
      await(() -> bed.first.received().size() == 1);
    }

    await(() -> bed.first.cancels().size() == 1);
    await(() -> bed.admission.results().equals(List.of(Result.CANCELLED)));
  }

  @Test
  void stopCompletesRunningRequestsAndRejectsNewOnes() throws Exception {
    bed.first.setScript(
        (request, exchange) -> {
          awaitRelease();
          exchange.respondOk("done");
        });
    try (Socket second = entry.connect()) {
      CompletableFuture<HttpResponse<String>> running = entry.sendAsync(entry.booking("x"));
      await(() -> bed.first.received().size() == 1);
      CompletableFuture<Void> stopped = CompletableFuture.runAsync(entry::stop);
      String refusal = awaitRejection(second);
      release.countDown();

      assertThat(running.join().body(), is("done"));
      assertThat(refusal.contains("Mustardstage-Error: stopping"), is(true));
      stopped.join();
    }
    assertThat(bed.first.received(), hasSize(1));
  }

  /** Asks for look-ups until the stop has begun. */
  private static String awaitRejection(Socket caller) throws IOException {
    String answer;
    do {
      send(caller, "GET /v1/lookup?service=desk HTTP/1.1\r\n\r\n");
      byte[] buffer = new byte[4096];
      int length = caller.getInputStream().read(buffer);
      answer = new String(buffer, 0, length, StandardCharsets.ISO_8859_1);
    } while (answer.startsWith("HTTP/1.1 200"));
    return answer;
  }

  private void awaitRelease() throws InterruptedException {
    await(() -> release.getCount() == 0);
  }

  private static void send(Socket caller, String text) throws IOException {
    caller.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }
}
