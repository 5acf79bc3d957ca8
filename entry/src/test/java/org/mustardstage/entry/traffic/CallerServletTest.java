package org.mustardstage.entry.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;
import static org.mustardstage.entry.traffic.TrafficServerTest.assertOutcome;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests that are invalid, too large or too slow. */
@Timeout(60)
class CallerServletTest {
  private static final int MAX_BODY_BYTES = 100_000;

  @AutoClose
  private final TestBed bed =
      TestBed.start(
          s -> new TrafficSettings(s.listenAddress(), 1, 50, MAX_BODY_BYTES, 300, s.limits()));

  private final TestEntryVm entry = bed.entry;

  @Test
  void unknownServiceIsNotRun() {
    assertOutcome(
        entry.send(entry.request("GET", "/swatches", "").header("Mustardstage-Service", "none")),
        404,
        "not-run",
        "unknown-service");
  }

  @Test
  void unknownCallIsNotRun() {
    assertOutcome(entry.sendRead("/nothing"), 404, "not-run", "unknown-call");
  }

  @Test
  void requestWithoutServiceIsNotRun() {
    assertOutcome(entry.send(entry.request("GET", "/swatches", "")), 400, "not-run", "no-service");
  }

  @Test
  void malformedDeadlineIsNotRun() {
    assertOutcome(
        entry.send(entry.booking("x").header("Mustardstage-Deadline-Millis", "soon")),
        400,
        "not-run",
        "malformed-deadline");
  }

  @Test
  void malformedKeyIsNotRun() {
    assertOutcome(entry.sendBookingWithKey("vm-a/1/mine", "x"), 400, "not-run", "malformed-key");
  }

  @Test
  void keyWithUnissuedPrefixIsNotRun() {
    assertOutcome(
        entry.sendBookingWithKey("vm-a/1/999999/x", "x"), 400, "not-run", "malformed-key");
  }

  @Test
  void headMethodIsRejected() {
    assertOutcome(
        entry.send(entry.request("HEAD", "/swatches", "").header("Mustardstage-Service", "desk")),
        405,
        "not-run",
        "method-not-carried");
  }

  @Test
  void lookupOfMalformedAddressIsRejected() {
    assertOutcome(
        entry.send(entry.request("GET", "/v1/lookup?service=desk&address=1.2.3", "")),
        400,
        "not-run",
        "malformed-address");
  }

  @Test
  void bodyWithTooLargeContentLengthIsNotRun() {
    String body = "x".repeat(MAX_BODY_BYTES + 1);

    assertOutcome(entry.sendBooking(body), 413, "not-run", "body-too-large");
    assertThat(bed.first.received(), hasSize(0));
  }

  @Test
  void contentLengthWithChunkedEncodingIsRejected() throws IOException {
    String head =
        """
        POST /bookings HTTP/1.1
        Mustardstage-Service: desk
        Content-Length: 4
        Transfer-Encoding: chunked

        0

        """;
    String response = entry.sendRaw(head.replace("\n", "\r\n"));

    assertThat(response, containsString("malformed-request"));
    assertThat(bed.first.received(), hasSize(0));
  }

  @Test
  void malformedRequestLineIsRejectedAndClosed() throws IOException {
    assertThat(entry.sendRaw("GET nonsense\r\n\r\n"), startsWith("HTTP/1.1 400"));
    assertThat(entry.sendRead("/swatches").body(), is("done"));
  }

  @Test
  void oversizedHeaderLineIsRejectedOrClosed() throws IOException {
    String headerLine = "X-Large: " + "x".repeat(40_000) + "\r\n";

    assertThat(closedOrRejected("GET /swatches HTTP/1.1\r\n" + headerLine + "\r\n"), is(true));
    assertThat(entry.sendRead("/swatches").body(), is("done"));
  }

  @Test
  void connectionWithSlowHeadIsClosedWhileOthersAreServed() throws IOException {
    try (Socket slowCaller = entry.connect()) {
      slowCaller
          .getOutputStream()
          .write("GET /swatches HTTP/1.1\r\nX-A: b\r\n".getBytes(StandardCharsets.ISO_8859_1));

      assertThat(entry.sendRead("/swatches").body(), is("done"));
      assertThat(readToEnd(slowCaller), is(""));
    }
  }

  @Test
  void connectionWithoutRequestIsClosed() throws IOException {
    try (Socket idleCaller = entry.connect()) {
      assertThat(readToEnd(idleCaller), is(""));
    }
  }

  private boolean closedOrRejected(String request) throws IOException {
    try {
      String response = entry.sendRaw(request);
      return response.isEmpty() || response.startsWith("HTTP/1.1 400");
    } catch (SocketException closedWhileSending) {
      return true;
    }
  }

  private static String readToEnd(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
  }
}
