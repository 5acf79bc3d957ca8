package org.mustardstage.entry.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.mustardstage.entry.http.MalformedResponse;

/**
 * Guards callers against endpoints whose response departs from the grammar of HTTP/1.1 in one
 * place, in deployments by manifest.
 */
@Timeout(60)
class MalformedResponseTest {
  private static final String ID = "Mustardstage-Request-Id";

  /** A request that waits for its deadline instead takes twice as long. */
  private static final Duration AT_ONCE =
      Duration.ofMillis(TestEntryVm.DEADLINE_MILLIS).dividedBy(2);

  @AutoClose private final TestBed bed = TestBed.start();

  /** Makes the endpoint that is asked first respond with {@code malformed}, later ones soundly. */
  private AtomicInteger respondFirstWith(MalformedResponse malformed) {
    AtomicInteger asked = new AtomicInteger();
    FakeEndpoint.Script script =
        (request, response) -> {
          if (asked.getAndIncrement() == 0) {
            response.sendRaw(malformed.toText(ID + ": " + request.header(ID) + "\r\n"));
          } else {
            response.respondOk("sound");
          }
        };
    bed.first.setScript(script);
    bed.second.setScript(script);
    return asked;
  }

  @ParameterizedTest
  @EnumSource
  void idempotentRequestGetsTheResponseOfAnotherEndpoint(MalformedResponse malformed) {
    AtomicInteger asked = respondFirstWith(malformed);
    long sentNanos = System.nanoTime();

    HttpResponse<String> response = bed.entry.sendRead("/swatches/1");

    assertThat(response.body(), is("sound"));
    assertThat(Duration.ofNanos(System.nanoTime() - sentNanos), is(lessThan(AT_ONCE)));
    assertThat(asked.get(), is(2));
  }

  /** The library's client takes the interim response for the final one. */
  @Test
  void interimResponseIsNotForwarded() {
    FakeEndpoint.Script script =
        (request, response) -> {
          response.sendRaw("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n");
          response.respondOk(request.body());
        };
    bed.first.setScript(script);
    bed.second.setScript(script);

    for (int i = 0; i < 3; i++) {
      assertThat(bed.entry.sendBooking("booking " + i).statusCode(), is(502));
    }
  }

  @ParameterizedTest
  @EnumSource
  void nonIdempotentRequestEndsWithAnErrorThatPromisesNothing(MalformedResponse malformed) {
    AtomicInteger asked = respondFirstWith(malformed);
    long sentNanos = System.nanoTime();

    HttpResponse<String> response = bed.entry.sendBooking("x");

    assertThat(response.statusCode(), is(502));
    assertThat(Duration.ofNanos(System.nanoTime() - sentNanos), is(lessThan(AT_ONCE)));
    assertThat(asked.get(), is(1));
  }
}
