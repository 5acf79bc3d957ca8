package org.mustardstage.entry.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.http.HttpRequest;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mustardstage.entry.control.UseEnd.Result;

/** Bodies that are too large to be held. */
@Timeout(60)
class BodyTest {
  private static final String LARGE = "0123456789".repeat(300_000);

  @AutoClose private final TestBed bed = TestBed.start();
  private final Entry entry = bed.entry;

  @Test
  void largeAnswerIsStreamedWhole() throws InterruptedException {
    bed.first.script((request, exchange) -> exchange.ok(LARGE));

    assertThat(entry.get("/swatches/1").body().equals(LARGE), is(true));
    TestBed.await(() -> !bed.admission.ends().isEmpty());
    assertThat(bed.admission.ends(), contains(Result.ANSWERED));
  }

  @Test
  void chunkedAnswerIsStreamedWhole() {
    bed.first.script(
        (request, exchange) -> {
          exchange.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          exchange.raw(Integer.toHexString(LARGE.length()) + "\r\n" + LARGE + "\r\n");
          exchange.raw("0\r\n\r\n");
        });

    assertThat(entry.get("/swatches/1").body().equals(LARGE), is(true));
  }

  @Test
  void largeBodyReachesTheEndpointWhole() {
    entry.book(LARGE);

    assertThat(bed.first.received().get(0).body().equals(LARGE), is(true));
  }

  @Test
  void largeAnswerThatBreaksIsNeverTakenAsWhole() {
    bed.first.script(
        (request, exchange) -> {
          exchange.raw("HTTP/1.1 200 OK\r\nContent-Length: 3000001\r\n\r\n" + LARGE);
          exchange.hangUp();
        });

    assertThrows(CompletionException.class, () -> entry.get("/swatches/1"));
  }

  @Test
  void chunkedAnswerThatBreaksIsNeverTakenAsWhole() {
    bed.first.script(
        (request, exchange) -> {
          exchange.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          exchange.raw(Integer.toHexString(LARGE.length()) + "\r\n" + LARGE + "\r\n");
          exchange.hangUp();
        });

    assertThrows(CompletionException.class, () -> entry.get("/swatches/1"));
  }

  @Test
  void answerWithoutStatedEndIsAFailure() {
    bed.first.script(
        (request, exchange) -> {
          exchange.raw("HTTP/1.1 200 OK\r\n\r\nperhaps whole");
          exchange.hangUp();
        });
    bed.second.script((request, exchange) -> exchange.ok("whole"));

    assertThat(entry.get("/swatches/1").body(), is("whole"));
  }

  @Test
  void largeBodyIsNotSentTwice() {
    bed.first.cancelState("done");
    bed.first.script((request, exchange) -> exchange.hangUp());

    entry.send(put(LARGE));

    assertThat(bed.second.received(), hasSize(0));
  }

  private HttpRequest.Builder put(String body) {
    return entry.request("PUT", "/archive", body).header("Mustardstage-Service", "desk");
  }
}
