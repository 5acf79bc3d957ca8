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
import org.mustardstage.entry.control.AttemptReport.Result;

/**
 * Bodies that are too large to be buffered and are streamed instead. Guards against truncated
 * bodies that pass for complete ones, and against sending a streamed body twice.
 */
@Timeout(60)
class BodyTest {
  private static final String LARGE = "0123456789".repeat(300_000);

  @AutoClose private final TestBed bed = TestBed.start();
  private final TestEntryVm entry = bed.entry;

  @Test
  void largeResponseIsStreamedWhole() throws InterruptedException {
    bed.first.setScript((request, response) -> response.respondOk(LARGE));

    assertThat(entry.sendRead("/swatches/1").body().equals(LARGE), is(true));
    TestBed.await(() -> !bed.admission.results().isEmpty());
    assertThat(bed.admission.results(), contains(Result.ANSWERED));
  }

  @Test
  void chunkedResponseIsStreamedWhole() {
    bed.first.setScript(
        (request, response) -> {
          response.sendRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          response.sendRaw(Integer.toHexString(LARGE.length()) + "\r\n" + LARGE + "\r\n");
          response.sendRaw("0\r\n\r\n");
        });

    assertThat(entry.sendRead("/swatches/1").body().equals(LARGE), is(true));
  }

  @Test
  void largeRequestBodyReachesTheEndpointWhole() {
    entry.sendBooking(LARGE);

    assertThat(bed.first.received().get(0).body().equals(LARGE), is(true));
  }

  @Test
  void truncatedLargeResponseFailsAtTheCaller() {
    bed.first.setScript(
        (request, response) -> {
          response.sendRaw("HTTP/1.1 200 OK\r\nContent-Length: 3000001\r\n\r\n" + LARGE);
          response.closeConnection();
        });

    assertThrows(CompletionException.class, () -> entry.sendRead("/swatches/1"));
  }

  @Test
  void truncatedChunkedResponseFailsAtTheCaller() {
    bed.first.setScript(
        (request, response) -> {
          response.sendRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          response.sendRaw(Integer.toHexString(LARGE.length()) + "\r\n" + LARGE + "\r\n");
          response.closeConnection();
        });

    assertThrows(CompletionException.class, () -> entry.sendRead("/swatches/1"));
  }

  @Test
  void responseThatIsNotSelfDelimitingIsRetried() {
    bed.first.setScript(
        (request, response) -> {
          response.sendRaw("HTTP/1.1 200 OK\r\n\r\nperhaps whole");
          response.closeConnection();
        });
    bed.second.setScript((request, response) -> response.respondOk("whole"));

    assertThat(entry.sendRead("/swatches/1").body(), is("whole"));
  }

  @Test
  void largeRequestBodyIsNotSentTwice() {
    bed.first.setCancelState("done");
    bed.first.setScript((request, response) -> response.closeConnection());

    entry.send(put(LARGE));

    assertThat(bed.second.received(), hasSize(0));
  }

  private HttpRequest.Builder put(String body) {
    return entry.request("PUT", "/archive", body).header("Mustardstage-Service", "desk");
  }
}
