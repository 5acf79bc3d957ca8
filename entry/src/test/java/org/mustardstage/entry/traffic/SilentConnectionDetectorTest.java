package org.mustardstage.entry.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.mustardstage.entry.traffic.TestBed.await;
import static org.mustardstage.entry.traffic.TrafficServerTest.assertOutcome;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Connections that stay open but deliver no data, while new connections to the same endpoint work.
 * Guards against requests that wait on such a connection until their deadline, and against slow
 * requests that are taken for silent connections.
 */
@Timeout(60)
class SilentConnectionDetectorTest {
  @AutoClose private final TestBed bed = TestBed.start();
  private final TestEntryVm entry = bed.entry;
  private final FakeEndpoint endpoint = bed.first;

  @BeforeEach
  void openConnections() throws InterruptedException {
    entry.sendRead("/swatches/1");
    await(() -> endpoint.probes() > 0);
  }

  @Test
  void readOnSilentConnectionIsRetriedAtAnotherEndpoint() {
    endpoint.silenceOpenConnections();
    bed.second.setScript((request, response) -> response.respondOk("elsewhere"));

    HttpResponse<String> response = entry.sendRead("/swatches/2");

    assertThat(response.body(), is("elsewhere"));
    assertThat(endpoint.cancels(), hasSize(1));
  }

  @Test
  void outcomeOfBookingOnSilentConnectionIsUnknownUnlessCancelConfirmsNotRun() {
    endpoint.silenceOpenConnections();

    assertOutcome(entry.sendBooking("x"), 502, "outcome-unknown", "connection-silent");
    assertThat(bed.second.received(), hasSize(0));
  }

  @Test
  void bookingThatDidNotRunIsRetriedAtAnotherEndpoint() {
    endpoint.silenceOpenConnections();
    endpoint.setCancelState("not-run");

    assertOutcome(entry.sendBooking("x"), 200, "answered", "");
    assertThat(bed.second.received(), hasSize(1));
  }

  @Test
  void nextRequestUsesANewConnection() {
    endpoint.silenceOpenConnections();
    entry.sendRead("/swatches/2");

    for (int i = 0; i < 5; i++) {
      assertThat(entry.sendBooking("roll " + i).body(), is("done"));
    }
  }

  @Test
  @Tag("known-red")
  void silentConnectionIsDetectedWhileNewConnectionsRespond() {
    endpoint.silenceOpenConnections();
    bed.second.setScript((request, response) -> response.respondOk("elsewhere"));
    CompletableFuture<HttpResponse<String>> requestOnSilentConnection =
        entry.sendAsync(
            entry.request("GET", "/swatches/2", "").header("Mustardstage-Service", "desk"));

    while (!requestOnSilentConnection.isDone()) {
      assertThat(entry.sendRead("/swatches/3").statusCode(), is(200));
    }
    assertThat(requestOnSilentConnection.join().body(), is("elsewhere"));
  }

  @Test
  void slowResponseOnWorkingConnectionIsAwaited() throws Exception {
    long probesBefore = endpoint.probes();
    endpoint.setScript(
        (request, response) -> {
          await(() -> endpoint.probes() >= probesBefore + 3);
          response.respondOk("slow");
        });

    CompletableFuture<HttpResponse<String>> response = entry.sendAsync(entry.booking("x"));

    assertThat(response.join().body(), is("slow"));
    assertThat(endpoint.cancels(), hasSize(0));
  }
}
