package org.mustardstage.entry.http;

/** Responses that depart from the grammar of HTTP/1.1 in one place. */
public enum MalformedResponse {
  BLANK_IN_NAME(Valid.STATUS_LINE, "X Filler: a", Valid.LENGTH, "broken"),
  CONTROL_BYTE_IN_NAME(Valid.STATUS_LINE, "X-\u0001Filler: a", Valid.LENGTH, "broken"),
  DEL_IN_NAME(Valid.STATUS_LINE, "X-\u007fFiller: a", Valid.LENGTH, "broken"),
  NON_ASCII_IN_NAME(Valid.STATUS_LINE, "X-F\u00fcller: a", Valid.LENGTH, "broken"),
  DELIMITER_IN_NAME(Valid.STATUS_LINE, "X(Filler): a", Valid.LENGTH, "broken"),
  BLANK_BEFORE_COLON(Valid.STATUS_LINE, "X-Filler : a", Valid.LENGTH, "broken"),
  BLANK_BEFORE_COLON_OF_LENGTH(Valid.STATUS_LINE, "X-Filler: a", "Content-Length : 6", "broken"),
  TAB_BEFORE_COLON(Valid.STATUS_LINE, "X-Filler\t: a", Valid.LENGTH, "broken"),
  BLANK_BEFORE_NAME(Valid.STATUS_LINE, " X-Filler: a", Valid.LENGTH, "broken"),
  NO_COLON(Valid.STATUS_LINE, "X-Filler", Valid.LENGTH, "broken"),
  EMPTY_NAME(Valid.STATUS_LINE, ": a", Valid.LENGTH, "broken"),
  NUL_IN_VALUE(Valid.STATUS_LINE, "X-Filler: a\u0000b", Valid.LENGTH, "broken"),
  CONTROL_BYTE_AROUND_VALUE(Valid.STATUS_LINE, "X-Filler: \u0001a\u0002", Valid.LENGTH, "broken"),
  BARE_CR_IN_VALUE(Valid.STATUS_LINE, "X-Filler: a\rb", Valid.LENGTH, "broken"),
  BARE_LF_IN_VALUE(Valid.STATUS_LINE, "X-Filler: a\nb", Valid.LENGTH, "broken"),
  FOLDED_VALUE(Valid.STATUS_LINE, "X-Filler: a\r\n b", Valid.LENGTH, "broken"),
  CONTROL_BYTE_AROUND_LENGTH(
      Valid.STATUS_LINE, "X-Filler: a", "Content-Length: \u00016\u0001", "broken"),
  STATUS_000("HTTP/1.1 000 OK", "X-Filler: a", Valid.LENGTH, "broken"),
  STATUS_099("HTTP/1.1 099 OK", "X-Filler: a", Valid.LENGTH, "broken"),
  STATUS_600("HTTP/1.1 600 OK", "X-Filler: a", Valid.LENGTH, "broken"),
  STATUS_999("HTTP/1.1 999 OK", "X-Filler: a", Valid.LENGTH, "broken"),
  STATUS_OF_FOUR_DIGITS("HTTP/1.1 2000 OK", "X-Filler: a", Valid.LENGTH, "broken"),
  STATUS_OF_TWO_DIGITS("HTTP/1.1 20 OK", "X-Filler: a", Valid.LENGTH, "broken"),
  SWITCHED_PROTOCOLS(
      "HTTP/1.1 101 OK", "X-Filler: a", "Upgrade: x", Valid.STATUS_LINE + "\r\n\r\n"),
  NO_BLANK_AFTER_STATUS("HTTP/1.1 200", "X-Filler: a", Valid.LENGTH, "broken"),
  TAB_IN_STATUS_LINE("HTTP/1.1\t200 OK", "X-Filler: a", Valid.LENGTH, "broken"),
  CONTROL_BYTE_IN_REASON("HTTP/1.1 200 O\u0001K", "X-Filler: a", Valid.LENGTH, "broken"),
  DEL_IN_REASON("HTTP/1.1 200 \u007f", "X-Filler: a", Valid.LENGTH, "broken"),
  BARE_CR_IN_REASON("HTTP/1.1 200 O\rK", "X-Filler: a", Valid.LENGTH, "broken"),
  BARE_LF_ENDS_STATUS_LINE("HTTP/1.1 200 OK\nX-A: b", "X-Filler: a", Valid.LENGTH, "broken"),
  OTHER_VERSION("HTTP/2.0 200 OK", "X-Filler: a", Valid.LENGTH, "broken"),
  NO_VERSION("200 OK", "X-Filler: a", Valid.LENGTH, "broken"),
  SIGNED_LENGTH(Valid.STATUS_LINE, "X-Filler: a", "Content-Length: +6", "broken"),
  LENGTH_IN_HEX(Valid.STATUS_LINE, "X-Filler: a", "Content-Length: 0x6", "broken"),
  LENGTHS_IN_ONE_LINE(Valid.STATUS_LINE, "X-Filler: a", "Content-Length: 6, 6", "broken"),
  LENGTHS_IN_TWO_LINES(Valid.STATUS_LINE, Valid.LENGTH, Valid.LENGTH, "broken"),
  CODING_IN_HTTP_1_0("HTTP/1.0 200 OK", "X-Filler: a", Valid.CHUNKED, "6\r\nbroken\r\n0\r\n\r\n"),
  UNKNOWN_CODING(Valid.STATUS_LINE, "X-Filler: a", "Transfer-Encoding: br", "broken"),
  CONTROL_BYTE_AROUND_CODING(
      Valid.STATUS_LINE,
      "X-Filler: a",
      "Transfer-Encoding: \u0001chunked",
      "6\r\nbroken\r\n0\r\n\r\n"),
  CONTROL_BYTE_IN_CHUNK_SIZE(
      Valid.STATUS_LINE, "X-Filler: a", Valid.CHUNKED, "\u00016\r\nbroken\r\n0\r\n\r\n"),
  BLANK_AFTER_CHUNK_SIZE(
      Valid.STATUS_LINE, "X-Filler: a", Valid.CHUNKED, "6 \r\nbroken\r\n0\r\n\r\n"),
  BROKEN_CHUNK_EXTENSION(
      Valid.STATUS_LINE, "X-Filler: a", Valid.CHUNKED, "6;a b\r\nbroken\r\n0\r\n\r\n"),
  BARE_LF_AFTER_CHUNK_SIZE(
      Valid.STATUS_LINE, "X-Filler: a", Valid.CHUNKED, "6\nbroken\r\n0\r\n\r\n"),
  BLANK_IN_TRAILER_NAME(
      Valid.STATUS_LINE, "X-Filler: a", Valid.CHUNKED, "6\r\nbroken\r\n0\r\nX Filler: a\r\n\r\n"),
  CONTROL_BYTE_IN_TRAILER(
      Valid.STATUS_LINE,
      "X-Filler: a",
      Valid.CHUNKED,
      "6\r\nbroken\r\n0\r\nX-Filler: \u0001\r\n\r\n"),
  NO_COLON_IN_TRAILER(
      Valid.STATUS_LINE, "X-Filler: a", Valid.CHUNKED, "6\r\nbroken\r\n0\r\nX-Filler\r\n\r\n"),
  BROKEN_INTERIM_RESPONSE(
      "HTTP/1.1 100 Continue\r\nX Filler: a\r\n\r\n" + Valid.STATUS_LINE,
      "X-Filler: a",
      Valid.LENGTH,
      "broken");

  private final String statusLine;
  private final String field;
  private final String framing;
  private final String body;

  MalformedResponse(String statusLine, String field, String framing, String body) {
    this.statusLine = statusLine;
    this.field = field;
    this.framing = framing;
    this.body = body;
  }

  /** Returns the response with {@code headers}, which are whole lines, beside its own. */
  public String toText(String headers) {
    return statusLine + "\r\n" + headers + field + "\r\n" + framing + "\r\n\r\n" + body;
  }

  /** The parts that are not malformed. */
  private static final class Valid {
    private static final String STATUS_LINE = "HTTP/1.1 200 OK";
    private static final String LENGTH = "Content-Length: 6";
    private static final String CHUNKED = "Transfer-Encoding: chunked";
  }
}
