package org.mustardstage.core.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ResponseParserTest {
  private static final ResponseLimits LIMITS = ResponseLimits.withBodyOf(1 << 20);

  private final ResponseParser parser = new ResponseParser(LIMITS, false);

  @Test
  void completeResponseIsReturnedWhenItsBytesArriveSeparately() throws MalformedResponseException {
    String text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\nhello";
    for (int i = 0; i < text.length() - 1; i++) {
      add(text.substring(i, i + 1));
      assertThat(parser.next(), is(Optional.empty()));
    }
    add("o");

    ResponseParser.Response response = parser.next().orElseThrow();

    assertThat(response.head().status(), is(200));
    assertThat(response.head().headers().find("x-a"), is(Optional.of("b")));
    assertThat(bodyOf(response), is("hello"));
    assertThat(parser.hasUnconsumedBytes(), is(false));
  }

  @Test
  void chunksAreJoined() throws MalformedResponseException {
    add(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n");

    assertThat(bodyOf(parser.next().orElseThrow()), is("abcde"));
  }

  @Test
  void truncatedResponseIsIncomplete() throws MalformedResponseException {
    add("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel");

    assertThat(parser.next(), is(Optional.empty()));
    assertThat(parser.atEndOfStream(), is(Optional.empty()));
  }

  @Test
  void chunksWithoutALastChunkAreIncomplete() throws MalformedResponseException {
    add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");

    assertThat(parser.next(), is(Optional.empty()));
    assertThat(parser.atEndOfStream(), is(Optional.empty()));
  }

  @Test
  void responseWithoutLengthEndsWithItsConnection() throws MalformedResponseException {
    add("HTTP/1.1 200 OK\r\n\r\nhello");

    assertThat(parser.next(), is(Optional.empty()));
    assertThat(bodyOf(parser.atEndOfStream().orElseThrow()), is("hello"));
  }

  @Test
  void bodyWithoutLengthMayBeOfAnySize() throws MalformedResponseException {
    ResponseParser unlimited =
        new ResponseParser(ResponseLimits.withBodyOf(Long.MAX_VALUE), /* withoutBody= */ false);
    byte[] bytes = "HTTP/1.1 200 OK\r\n\r\nhello".getBytes(StandardCharsets.ISO_8859_1);
    unlimited.add(bytes, 0, bytes.length);

    assertThat(unlimited.next(), is(Optional.empty()));
    assertThat(bodyOf(unlimited.atEndOfStream().orElseThrow()), is("hello"));
  }

  @Test
  void bytesAfterAResponseAreReportedAsUnconsumed() throws MalformedResponseException {
    add("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n");

    assertThat(bodyOf(parser.next().orElseThrow()), is("a"));
    assertThat(parser.hasUnconsumedBytes(), is(true));
  }

  @Test
  void interimResponsesAreSkipped() throws MalformedResponseException {
    add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n");

    assertThat(parser.next().orElseThrow().head().status(), is(204));
  }

  @Test
  void ambiguousOrInvalidFramingIsMalformed() {
    assertMalformed("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na");
    assertMalformed("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
    assertMalformed("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n");
    assertMalformed("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n");
    assertMalformed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
    assertMalformed("HTTP/1.1 20x OK\r\n\r\n");
    assertMalformed("HTTP/1.1 200 OK\r\nno colon\r\n\r\n");
    assertMalformed("\u0000\u0001garbage");
  }

  private static void assertMalformed(String text) {
    ResponseParser malformedParser = new ResponseParser(LIMITS, false);
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    malformedParser.add(bytes, 0, bytes.length);
    assertThrows(MalformedResponseException.class, malformedParser::next, text);
  }

  private void add(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    parser.add(bytes, 0, bytes.length);
  }

  private static String bodyOf(ResponseParser.Response response) {
    return new String(response.body(), StandardCharsets.ISO_8859_1);
  }
}
