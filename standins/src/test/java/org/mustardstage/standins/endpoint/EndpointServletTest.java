package org.mustardstage.standins.endpoint;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.schema.SettingsReader;
import org.mustardstage.schema.generated.EndpointProfile;
import org.mustardstage.standins.http.StandInServer;
import org.mustardstage.standins.http.TestHttpClient;

/**
 * Guards against an endpoint stand-in that loses or miscounts runs: the checks of the demo and of
 * other tests rely on its record of runs, its slot limit, cancellation and faults.
 */
class EndpointServletTest {
  private static final int SLOTS = 2;
  private static final String PROFILE =
      """
      paths:
        - {pathPrefix: /slow, medianMillis: 600000, p99Millis: 600000}
        - {pathPrefix: /large, medianMillis: 1, p99Millis: 1, answerBytes: 100000}
        - {pathPrefix: /, medianMillis: 1, p99Millis: 1}
      """;

  private StandInServer server;
  private TestHttpClient http;

  @BeforeEach
  void start() throws IOException {
    Endpoint endpoint =
        new Endpoint(
            new EndpointId("desk-1"),
            new ZoneId("regina-a"),
            TestHttpClient.hostAndPort(TestHttpClient.freeAddress()),
            SLOTS,
            100);
    EndpointProfile profile = SettingsReader.read(PROFILE, EndpointProfile.class).get();
    server = EndpointMain.start(endpoint, profile);
    http = new TestHttpClient(endpoint.address());
  }

  @AfterEach
  void stop() throws InterruptedException {
    cancel("slow-1");
    cancel("slow-2");
    server.stop();
  }

  @Test
  void responseContainsTokenOfRequest() {
    HttpResponse<byte[]> response = http.send("GET", "/large?token=abc", "");

    assertThat(response.body().length, equalTo(100_000));
    assertThat(ResponseBodies.matches(response.body(), "abc"), equalTo(true));
    assertThat(ResponseBodies.matches(response.body(), "abd"), equalTo(false));
  }

  @Test
  void truncatedBodyMatchesNoToken() {
    byte[] complete = ResponseBodies.create("abc", 1000);

    assertThat(ResponseBodies.matches(Arrays.copyOf(complete, 999), "abc"), equalTo(false));
  }

  @Test
  void rejectsAndCountsRequestsAboveSlotLimit() {
    startSlowRequest("slow-1");
    startSlowRequest("slow-2");

    assertThat(rejectionCode(http.send("GET", "/x", "")), equalTo("overloaded"));
    JsonNode record = record();
    assertThat(record.path("overloadViolations").asInt(), equalTo(1));
    assertThat(record.path("maxSlotsInUse").asInt(), equalTo(SLOTS + 1));
    assertThat(record.path("runRequestIds").size(), equalTo(SLOTS));
  }

  @Test
  void cancelReleasesSlot() {
    startSlowRequest("slow-1");

    assertThat(cancel("slow-1"), equalTo("cancelled"));
    assertThat(http.sendForJson("GET", "/-/load", "").path("slotsInUse").asInt(), equalTo(0));
    assertThat(cancel("slow-1"), equalTo("done"));
  }

  @Test
  void requestCancelledBeforeArrivalNeverRuns() {
    assertThat(cancel("late"), equalTo("not-run"));

    HttpResponse<byte[]> response = http.send("GET", "/x", "", "Mustardstage-Request-Id", "late");
    assertThat(rejectionCode(response), equalTo("cancelled"));
    assertThat(record().path("runRequestIds").size(), equalTo(0));
  }

  @Test
  void runEndsAtDeadline() {
    HttpResponse<byte[]> response =
        http.send("GET", "/slow", "", "Mustardstage-Deadline-Millis", "5");

    assertThat(response.statusCode(), equalTo(504));
    assertThat(record().path("expired").asInt(), equalTo(1));
    assertThat(http.sendForJson("GET", "/-/load", "").path("slotsInUse").asInt(), equalTo(0));
  }

  @Test
  void rejectsRequestWithoutTimeLeft() {
    assertThat(
        rejectionCode(http.send("GET", "/x", "", "Mustardstage-Deadline-Millis", "0")),
        equalTo("deadline"));
  }

  @Test
  void drainingEndpointRejectsNewRequests() {
    http.send("POST", "/-/drain", "");

    HttpResponse<byte[]> response = http.send("GET", "/x", "");
    assertThat(rejectionCode(response), equalTo("draining"));
    assertThat(response.headers().firstValue("Mustardstage-Draining").get(), equalTo("true"));
  }

  @Test
  void countsRunsByIdempotencyKeyAndToken() {
    for (int i = 0; i < 2; i++) {
      http.send("POST", "/x?token=t", "body", "Mustardstage-Idempotency-Key", "vm/1/t");
    }

    assertThat(record().path("runsByKey").path("vm/1/t").asInt(), equalTo(2));
    assertThat(record().path("runsByToken").path("t").asInt(), equalTo(2));
  }

  @Test
  void endpointWithLoadFaultReportsZeroLoad() {
    startSlowRequest("slow-1");
    http.send("POST", "/-/fault", "{\"lieAboutLoad\": true}");

    HttpResponse<byte[]> response = http.send("GET", "/x", "");
    assertThat(response.headers().firstValue("Mustardstage-Load").get(), equalTo("0/2"));
  }

  @Test
  void faultSilencesConnectionsWithRequestsButNotNewOnes() throws IOException {
    try (Socket used = new Socket(server.address().getAddress(), server.address().getPort())) {
      send(used);
      assertThat(used.getInputStream().read(), equalTo((int) 'H'));
      http.send("POST", "/-/fault", "{\"silentConnections\": true}");
      used.getInputStream().skipNBytes(used.getInputStream().available());
      send(used);

      HttpResponse<byte[]> response = http.send("GET", "/z?token=new", "");
      assertThat(ResponseBodies.matches(response.body(), "new"), equalTo(true));
      assertThat(used.getInputStream().available(), equalTo(0));
      assertThat(record().path("runRequestIds").size(), equalTo(2));
    }
  }

  private static void send(Socket socket) throws IOException {
    socket
        .getOutputStream()
        .write("GET /x HTTP/1.1\r\nHost: localhost\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
  }

  private void startSlowRequest(String requestId) {
    CompletableFuture<HttpResponse<byte[]>> response =
        http.sendAsync("GET", "/slow", "", "Mustardstage-Request-Id", requestId);
    while (!response.isDone() && !record().path("runRequestIds").toString().contains(requestId)) {
      Thread.onSpinWait();
    }
  }

  private String cancel(String requestId) {
    return http.sendForJson("POST", "/-/cancel?request=" + requestId, "").path("state").asText();
  }

  private JsonNode record() {
    return http.sendForJson("GET", "/-/record", "");
  }

  private static String rejectionCode(HttpResponse<byte[]> response) {
    return response.headers().firstValue("Mustardstage-Refused").orElse("none");
  }
}
