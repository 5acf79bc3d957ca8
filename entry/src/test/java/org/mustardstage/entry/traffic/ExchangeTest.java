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
import org.mustardstage.entry.control.AttemptReport.Result;

/**
 * Deadlines, caller disconnects, late responses and graceful stop. Guards against outcomes that
 * claim more than is known, permits that are reported free while the endpoint may still run the
 * request, and responses delivered to the wrong request.
 */
@Timeout(60)
class ExchangeTest {
  @AutoClose private final TestBed bed = TestBed.start();
  private final TestEntryVm entry = bed.entry;
  private final CountDownLatch responseReleased = new CountDownLatch(1);

  @Test
  void bookingInFlightAtItsDeadlineIsUnknownAndCancelled() throws InterruptedException {
    bed.first.setScript((request, response) -> awaitResponseRelease());

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
    bed.first.setScript((request, response) -> awaitResponseRelease());

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
        (request, response) -> {
          if (request.body().equals("late")) {
            awaitResponseRelease();
          }
          response.respondOk("to " + request.body());
        });
    entry.send(entry.booking("late").header("Mustardstage-Deadline-Millis", "200"));
    responseReleased.countDown();

    for (int i = 0; i < 20; i++) {
      assertThat(entry.sendBooking("roll " + i).body(), is("to roll " + i));
    }
  }

  @Test
  void connectionOfTimedOutRequestIsNotReused() {
    bed.first.setScript(
        (request, response) -> {
          if (request.body().equals("late")) {
            awaitResponseRelease();
          }
          response.respondOk("done");
        });
    entry.send(entry.booking("late").header("Mustardstage-Deadline-Millis", "200"));
    entry.sendBooking("next");

    int timedOutConnection = bed.first.received().get(0).connectionNumber();
    int nextConnection = bed.first.received().get(1).connectionNumber();
    assertThat(timedOutConnection == nextConnection, is(false));
  }

  @Test
  void callerDisconnectCancelsTheRequest() throws Exception {
    bed.first.setScript((request, response) -> awaitResponseRelease());
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
        (request, response) -> {
          awaitResponseRelease();
          response.respondOk("done");
        });
    try (Socket second = entry.connect()) {
      CompletableFuture<HttpResponse<String>> running = entry.sendAsync(entry.booking("x"));
      await(() -> bed.first.received().size() == 1);
      CompletableFuture<Void> stopped = CompletableFuture.runAsync(entry::stop);
      String rejection = awaitRejection(second);
      responseReleased.countDown();

      assertThat(running.join().body(), is("done"));
      assertThat(rejection.contains("Mustardstage-Error: stopping"), is(true));
      stopped.join();
    }
    assertThat(bed.first.received(), hasSize(1));
  }

  /**
   * Sends lookups until the server rejects one because it is stopping, and returns that response.
   */
  private static String awaitRejection(Socket caller) throws IOException {
    String response;
    do {
      send(caller, "GET /v1/lookup?service=desk HTTP/1.1\r\n\r\n");
      byte[] buffer = new byte[4096];
      int length = caller.getInputStream().read(buffer);
      response = new String(buffer, 0, length, StandardCharsets.ISO_8859_1);
    } while (response.startsWith("HTTP/1.1 200"));
    return response;
  }

  private void awaitResponseRelease() throws InterruptedException {
    await(() -> responseReleased.getCount() == 0);
  }

  private static void send(Socket caller, String text) throws IOException {
    caller.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }
}
