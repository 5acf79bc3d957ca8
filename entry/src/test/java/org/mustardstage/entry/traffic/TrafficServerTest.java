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
import org.mustardstage.entry.control.UseEnd.Result;

@Timeout(60)
class TrafficServerTest {
  @AutoClose private final TestBed bed = TestBed.start();
  private final Entry entry = bed.entry;
  private final FakeEndpoint first = bed.first;
  private final FakeEndpoint second = bed.second;
  private final FakeAdmission admission = bed.admission;

  @Test
  void answerIsPassedOnWhole() {
    HttpResponse<String> answer = entry.get("/swatches/7?size=2");

    assertThat(answer.body(), is("done"));
    assertOutcome(answer, 200, "answered", "");
    assertThat(first.received().get(0).line(), is("GET /swatches/7?size=2 HTTP/1.1"));
    assertThat(admission.ends(), contains(Result.ANSWERED));
  }

  @Test
  void bodyAndDeadlineReachTheEndpoint() {
    entry.book("roll 12");

    FakeEndpoint.Received received = first.received().get(0);
    assertThat(received.body(), is("roll 12"));
    long leftMillis = Long.parseLong(received.header("Mustardstage-Deadline-Millis"));
    assertThat(leftMillis > 0 && leftMillis < Entry.DEADLINE_MILLIS, is(true));
  }

  @Test
  void refusedRequestIsSentElsewhere() {
    first.script((request, exchange) -> exchange.refuse("overloaded"));

    HttpResponse<String> answer = entry.book("roll 12");

    assertOutcome(answer, 200, "answered", "");
    assertThat(second.received(), hasSize(1));
    assertThat(admission.ends(), contains(Result.REFUSED, Result.ANSWERED));
  }

  @Test
  void requestRefusedEverywhereIsNotRun() {
    first.script((request, exchange) -> exchange.refuse("overloaded"));
    second.script((request, exchange) -> exchange.refuse("draining"));

    assertOutcome(entry.book("roll 12"), 503, "not-run", "no-endpoint");
  }

  @Test
  void connectionNeverMadeIsTriedElsewhere() throws IOException {
    first.close();

    assertOutcome(entry.book("roll 12"), 200, "answered", "");
    assertThat(admission.ends(), contains(Result.NEVER_SENT, Result.ANSWERED));
  }

  @Test
  void truncatedAnswerOfBookingIsUnknownAndNotRepeated() {
    first.cancelState("done");
    first.script(TrafficServerTest::truncate);

    assertOutcome(entry.book("roll 12"), 502, "outcome-unknown", "answer-lost");
    assertThat(second.received(), hasSize(0));
  }

  @Test
  void answerThatIsNotHttpIsUnknown() {
    first.script((request, exchange) -> exchange.raw("SSH-2.0-server\r\n"));

    assertOutcome(entry.book("roll 12"), 502, "outcome-unknown", "answer-malformed");
  }

  @Test
  void truncatedAnswerOfReadIsRepeated() {
    first.script(TrafficServerTest::truncate);

    HttpResponse<String> answer = entry.get("/swatches/7");

    assertThat(answer.body(), is("done"));
    assertThat(second.received(), hasSize(1));
  }

  @Test
  void lostAnswerIsNotRunWhenTheEndpointSaysSo() {
    first.cancelState("not-run");
    second.script((request, exchange) -> exchange.ok("second"));
    first.script((request, exchange) -> exchange.hangUp());

    assertThat(entry.book("roll 12").body(), is("second"));
  }

  @Test
  void lookupIsAnswered() {
    HttpResponse<String> answer = entry.send(entry.request("GET", "/v1/lookup?service=desk", ""));

    assertThat(answer.statusCode(), is(200));
    assertThat(entry.keyPrefix(), is("vm-a/1/0"));
  }

  private static void truncate(FakeEndpoint.Received request, FakeEndpoint.Exchange exchange)
      throws IOException {
    exchange.raw("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    exchange.hangUp();
  }

  static void assertOutcome(HttpResponse<String> answer, int status, String outcome, String code) {
    assertThat(answer.statusCode(), is(status));
    assertThat(answer.headers().firstValue("Mustardstage-Outcome").orElse(""), is(outcome));
    assertThat(answer.headers().firstValue("Mustardstage-Error").orElse(""), is(code));
    assertThat(answer.headers().firstValue("Mustardstage-Vm").orElse(""), not(""));
  }
}
