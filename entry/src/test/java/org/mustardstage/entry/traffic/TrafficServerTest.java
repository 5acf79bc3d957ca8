package org.mustardstage.entry.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mustardstage.entry.control.AttemptReport.Result;

/**
 * Forwarding of requests and retries. Guards against retries of a request that an endpoint may have
 * run, and against missing retries of one that did not run or is idempotent.
 */
@Timeout(60)
class TrafficServerTest {
  @AutoClose private final TestBed bed = TestBed.start();
  private final TestEntryVm entry = bed.entry;
  private final FakeEndpoint first = bed.first;
  private final FakeEndpoint second = bed.second;
  private final FakeAdmission admission = bed.admission;

  @Test
  void responseIsForwardedWhole() {
    HttpResponse<String> response = entry.sendRead("/swatches/7?size=2");

    assertThat(response.body(), is("done"));
    assertOutcome(response, 200, "answered", "");
    assertThat(first.received().get(0).requestLine(), is("GET /swatches/7?size=2 HTTP/1.1"));
    assertThat(admission.results(), contains(Result.ANSWERED));
  }

  @Test
  void bodyAndDeadlineReachTheEndpoint() {
    entry.sendBooking("roll 12");

    FakeEndpoint.ReceivedRequest received = first.received().get(0);
    assertThat(received.body(), is("roll 12"));
    long leftMillis = Long.parseLong(received.header("Mustardstage-Deadline-Millis"));
    assertThat(leftMillis > 0 && leftMillis < TestEntryVm.DEADLINE_MILLIS, is(true));
  }

  @Test
  void rejectedRequestIsRetriedAtAnotherEndpoint() {
    first.setScript((request, response) -> response.reject("overloaded"));

    HttpResponse<String> response = entry.sendBooking("roll 12");

    assertOutcome(response, 200, "answered", "");
    assertThat(second.received(), hasSize(1));
    assertThat(admission.results(), contains(Result.REFUSED, Result.ANSWERED));
  }

  @Test
  void requestRejectedByAllEndpointsIsNotRun() {
    first.setScript((request, response) -> response.reject("overloaded"));
    second.setScript((request, response) -> response.reject("draining"));

    assertOutcome(entry.sendBooking("roll 12"), 503, "not-run", "no-endpoint");
  }

  @Test
  void connectFailureIsRetriedAtAnotherEndpoint() throws IOException {
    first.close();

    assertOutcome(entry.sendBooking("roll 12"), 200, "answered", "");
    assertThat(admission.results(), contains(Result.NEVER_SENT, Result.ANSWERED));
  }

  @Test
  void truncatedResponseToBookingIsUnknownAndNotRetried() {
    first.setCancelState("done");
    first.setScript(TrafficServerTest::truncate);

    assertOutcome(entry.sendBooking("roll 12"), 502, "outcome-unknown", "answer-lost");
    assertThat(second.received(), hasSize(0));
  }

  @Test
  void outcomeIsUnknownWhenTheResponseIsNotHttp() {
    first.setScript((request, response) -> response.sendRaw("SSH-2.0-server\r\n"));

    assertOutcome(entry.sendBooking("roll 12"), 502, "outcome-unknown", "answer-malformed");
  }

  @Test
  void truncatedResponseToReadIsRetried() {
    first.setScript(TrafficServerTest::truncate);

    HttpResponse<String> response = entry.sendRead("/swatches/7");

    assertThat(response.body(), is("done"));
    assertThat(second.received(), hasSize(1));
  }

  @Test
  void lostResponseIsRetriedWhenTheCancelConfirmsNotRun() {
    first.setCancelState("not-run");
    second.setScript((request, response) -> response.respondOk("second"));
    first.setScript((request, response) -> response.closeConnection());

    assertThat(entry.sendBooking("roll 12").body(), is("second"));
  }

  @Test
  void lookupReturnsKeyPrefix() {
    HttpResponse<String> response = entry.send(entry.request("GET", "/v1/lookup?service=desk", ""));

    assertThat(response.statusCode(), is(200));
    assertThat(entry.fetchKeyPrefix(), is("vm-a/1/0"));
  }

  private static void truncate(
      FakeEndpoint.ReceivedRequest request, FakeEndpoint.ResponseWriter response)
      throws IOException {
    response.sendRaw("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    response.closeConnection();
  }

  static void assertOutcome(
      HttpResponse<String> response, int status, String outcome, String code) {
    assertThat(response.statusCode(), is(status));
    assertThat(response.headers().firstValue("Mustardstage-Outcome").orElse(""), is(outcome));
    assertThat(response.headers().firstValue("Mustardstage-Error").orElse(""), is(code));
    assertThat(response.headers().firstValue("Mustardstage-Vm").orElse(""), not(""));
  }
}
