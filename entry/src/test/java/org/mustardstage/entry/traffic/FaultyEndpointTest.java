package org.mustardstage.entry.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.net.http.HttpResponse;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards callers against endpoints that write a response again, or stop in the middle of a
 * response.
 */
@Timeout(60)
class FaultyEndpointTest {
  private static final String REFUSAL =
      "HTTP/1.1 503 Refused\r\nMustardstage-Refused: full\r\n%sContent-Length: 0\r\n\r\n";
  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Type: text/plain\r\n\r\n";

  private static final String EARLIER = "earlier";
  private static final int ROUNDS = 5;

  @AutoClose private final TestBed bed = TestBed.start();
  private final TestEntryVm entry = bed.entry;

  /** When an endpoint writes its response to an earlier request once more. */
  enum Repetition {
    WITH_THE_RESPONSE,
    BETWEEN_THE_REQUESTS,
    BEFORE_THE_NEXT_RESPONSE,
    /** As the first, by an endpoint that does not say to which request it responds. */
    WITH_THE_RESPONSE_WITHOUT_IDS
  }

  /** A booking whose slot was refused before ran at a second endpoint, and was told "not run". */
  @ParameterizedTest
  @EnumSource
  void repeatedRefusalIsNotTakenForThatOfTheNextRequest(Repetition repetition) throws Exception {
    AtomicInteger runs = repeatResponses(repetition, REFUSAL);

    for (int i = 1; i <= ROUNDS; i++) {
      entry.sendBooking(EARLIER);
      Thread.sleep(i * 10L);
      runs.set(0);

      HttpResponse<String> response = entry.sendBooking("booked");

      assertThat("runs " + runs + ", status " + response.statusCode(), runs.get() <= 1, is(true));
      assertThat(response.statusCode() == 200 || response.statusCode() == 502, is(true));
    }
  }

  /** A caller got the response to another request. */
  @ParameterizedTest
  @EnumSource
  void repeatedResponseIsNotForwardedToTheNextCaller(Repetition repetition) throws Exception {
    repeatResponses(repetition, "HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\nother");

    for (int i = 1; i <= ROUNDS; i++) {
      entry.sendBooking(EARLIER);
      Thread.sleep(i * 10L);

      HttpResponse<String> response = entry.sendBooking("booked");

      boolean failed = response.statusCode() == 502;
      assertThat(response.body(), failed || response.body().equals("done"), is(true));
    }
  }

  /** Sets the endpoints to repeat their responses; returns the number of other requests run. */
  private AtomicInteger repeatResponses(Repetition repetition, String format) {
    AtomicInteger runs = new AtomicInteger();
    AtomicReference<String> repeated = new AtomicReference<>("");
    FakeEndpoint.Script script =
        (request, response) -> {
          if (request.body().equals(EARLIER)) {
            String text = format.formatted(idLine(repetition, request));
            boolean atOnce =
                repetition == Repetition.WITH_THE_RESPONSE
                    || repetition == Repetition.WITH_THE_RESPONSE_WITHOUT_IDS;
            response.sendRaw(atOnce ? text + text : text);
            repeated.set(text);
            if (repetition == Repetition.BETWEEN_THE_REQUESTS) {
              Thread.sleep(20);
              response.sendRaw(text);
            }
            return;
          }
          if (repetition == Repetition.BEFORE_THE_NEXT_RESPONSE) {
            response.sendRaw(repeated.get());
          }
          runs.incrementAndGet();
          Thread.sleep(50);
          response.respondOk("done");
        };
    bed.first.setScript(script);
    bed.second.setScript(script);
    return runs;
  }

  private static String idLine(Repetition repetition, FakeEndpoint.ReceivedRequest request) {
    return repetition == Repetition.WITH_THE_RESPONSE_WITHOUT_IDS
        ? ""
        : "Mustardstage-Request-Id: " + request.header("Mustardstage-Request-Id") + "\r\n";
  }

  /** A cut head must look like a lost response, wherever it was cut. */
  @Test
  void responseThatEndsWithinItsHeadIsNotForwarded() {
    AtomicInteger cut = new AtomicInteger(1);
    FakeEndpoint.Script script =
        (request, response) -> {
          response.sendRaw(HEAD.substring(0, cut.get()));
          response.closeConnection();
        };
    bed.first.setScript(script);
    bed.second.setScript(script);

    for (; cut.get() < HEAD.length(); cut.addAndGet(3)) {
      HttpResponse<String> response = entry.sendBooking("x");
      assertThat("status of a head cut at " + cut, response.statusCode(), is(502));
    }
  }
}
