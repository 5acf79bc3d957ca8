package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardstage.entry.http.MalformedResponse;
import org.mustardstage.entry.http.MalformedResponses;
import org.mustardstage.entry.http.MalformedResponses.Peers;
import org.mustardstage.entry.log.Event;
import org.slf4j.LoggerFactory;

/**
 * Guards callers against endpoints whose response departs from the grammar of HTTP/1.1 in one
 * place. The caller must never see such a response, whatever else in it is right. The count shows
 * that it was rejected for what it is, and not overtaken by a hedge or the timeout.
 */
@Timeout(60)
class BrokenResponseTest extends GatewayTestBed {
  private static final String HEADERS = "X-Request-Id: r-1\r\nX-Server-Seal: seal\r\n";

  /** Makes the endpoint that is asked first respond with {@code text}, and later ones soundly. */
  private void respondFirstWith(String text) {
    AtomicInteger asked = new AtomicInteger();
    FakeEndpoint.Handler handler =
        (request, socket) -> {
          if (asked.getAndIncrement() == 0) {
            FakeEndpoint.write(socket, text);
          } else {
            FakeEndpoint.respondOk(request, socket, "sound");
          }
        };
    first.setHandler(handler);
    second.setHandler(handler);
  }

  private static void awaitClosed(FakeEndpoint endpoint) throws InterruptedException {
    for (int i = 0; i < 100 && endpoint.openConnections() > 0; i++) {
      Thread.sleep(10);
    }
    assertThat(endpoint.openConnections(), is(0));
  }

  @ParameterizedTest
  @EnumSource
  void idempotentRequestGetsTheResponseOfAnotherEndpoint(MalformedResponse malformed)
      throws Exception {
    respondFirstWith(malformed.toText(HEADERS));
    long countBefore = MalformedResponses.count(Peers.ENDPOINTS);

    HttpResponse<String> response = get(IDEMPOTENT_PATH);

    assertThat(response.body(), is("sound"));
    assertThat(MalformedResponses.count(Peers.ENDPOINTS), is(countBefore + 1));
    assertThat(first.receivedRequests().size(), is(1));
    assertThat(second.receivedRequests().size(), is(1));
  }

  @ParameterizedTest
  @EnumSource
  void nonIdempotentRequestEndsWithAnErrorThatPromisesNothing(MalformedResponse malformed)
      throws Exception {
    publish(first);
    respondFirstWith(malformed.toText(HEADERS));
    long countBefore = MalformedResponses.count(Peers.ENDPOINTS);

    HttpResponse<String> response = post(NON_IDEMPOTENT_PATH, "x");

    assertThat(response.statusCode(), is(502));
    assertThat(response.headers().firstValue("Mustardstage-Error"), is(Optional.of("ANSWER_LOST")));
    assertThat(response.headers().firstValue("Retry-After"), is(Optional.empty()));
    assertThat(MalformedResponses.count(Peers.ENDPOINTS), is(countBefore + 1));
    assertThat(first.receivedRequests().size(), is(1));
    awaitClosed(first);
  }

  @Test
  void malformedResponseIsLoggedAndCounted() throws Exception {
    publish(first);
    respondFirstWith(MalformedResponse.BLANK_IN_NAME.toText(HEADERS));
    long countBefore = MalformedResponses.count(Peers.ENDPOINTS);
    ListAppender<ILoggingEvent> appender = new ListAppender<>();
    Logger logger = (Logger) LoggerFactory.getLogger("mustardstage");
    appender.start();
    logger.addAppender(appender);

    post(NON_IDEMPOTENT_PATH, "x");

    logger.detachAppender(appender);
    ILoggingEvent event =
        appender.list.stream()
            .filter(each -> each.getMessage().equals(Event.MALFORMED_RESPONSE.name()))
            .findFirst()
            .orElseThrow();
    assertThat(
        event.getKeyValuePairs().toString(),
        allOf(
            containsString("peer=\"" + first.registration().address() + "\""),
            containsString("request=\"r-1\""),
            containsString("header name is \"X Filler\" but must be letters, digits and")));
    assertThat(
        new String(metrics.scrape(), StandardCharsets.UTF_8),
        containsString(
            "mustardstage_malformed_responses_total{peers=\"endpoints\"} " + (countBefore + 1.0)));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 \r\n%sX-Filler: a\r\nContent-Length: 5\r\n\r\nsound",
        "HTTP/1.1 200 \u00fc\tb\r\n%sX-Filler:\t a \r\nContent-Length:005\r\n\r\nsound",
        "HTTP/1.1 200 OK\r\n%s!#$%%&'*+-.^_`|~: \r\nX-Filler:a\r\nContent-Length: 5\r\n\r\nsound",
        """
        HTTP/1.1 103 Early Hints\r
        Link: a\r
        \r
        HTTP/1.1 200 OK\r
        %sX-Filler: a\r
        Content-Length: 5\r
        \r
        sound""",
        """
        HTTP/1.1 200 OK\r
        %sX-Filler: a\r
        Transfer-Encoding: Chunked\r
        \r
        02 ; a="b;\\"" ;c\r
        so\r
        3\r
        und\r
        000\r
        X-Trailer: a\r
        \r
        """,
      })
  void unusualButValidResponseIsForwarded(String format) throws Exception {
    publish(first);
    respondFirstWith(format.formatted(HEADERS));

    HttpResponse<String> response = post(NON_IDEMPOTENT_PATH, "x");

    assertThat(response.statusCode(), is(200));
    assertThat(response.body(), is("sound"));
    assertThat(response.headers().firstValue("X-Filler"), is(Optional.of("a")));
  }

  @Test
  void valuesAreForwardedByteByByte() throws Exception {
    publish(first);
    respondFirstWith(
        "HTTP/1.1 200 OK\r\n"
            + HEADERS
            + "X-Filler: \u00e4\tb\u00ff\r\nContent-Length: 5\r\n\r\nsound");

    try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), address.port())) {
      FakeEndpoint.write(
          caller,
          "GET /look/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: r-1\r\nX-Deadline-Ms: 3000\r\nConnection: close\r\n\r\n");
      String response =
          new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);

      assertThat(response, containsString("X-Filler: \u00e4\tb\u00ff\r\n"));
    }
  }
}
