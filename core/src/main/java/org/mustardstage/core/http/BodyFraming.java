package org.mustardstage.core.http;

import java.util.List;

/** How the end of a response's body is found (RFC 9112, section 6.3). */
sealed interface BodyFraming {
  /** There is no body. */
  record None() implements BodyFraming {}

  /** The body has {@code bytes} bytes. */
  record Length(long bytes) implements BodyFraming {}

  /** The body consists of chunks, of which the last one is empty. */
  record Chunked() implements BodyFraming {}

  /** The body ends with the connection. */
  record UntilClose() implements BodyFraming {}

  /** Keeps numbers within the range of a long. */
  int MAX_DIGITS = 15;

  int NO_CONTENT = 204;
  int NOT_MODIFIED = 304;

  /**
   * Returns the framing that {@code head} states.
   *
   * @param withoutBody whether the request was one whose responses never have a body, as HEAD
   * @throws MalformedResponseException if the headers state none or several, so that a truncated
   *     body could be taken for a complete one
   */
  static BodyFraming of(ResponseHead head, boolean withoutBody) throws MalformedResponseException {
    List<String> codings = head.headers().all("Transfer-Encoding");
    List<String> lengths = head.headers().all("Content-Length");
    if (!codings.isEmpty()) {
      checkCoding(head, codings, lengths);
    }
    long length = lengths.isEmpty() ? 0 : parseLength(lengths);
    if (withoutBody
        || head.isInterim()
        || head.status() == NO_CONTENT
        || head.status() == NOT_MODIFIED) {
      return new None();
    }
    if (!codings.isEmpty()) {
      return new Chunked();
    }
    return lengths.isEmpty() ? new UntilClose() : new Length(length);
  }

  private static void checkCoding(ResponseHead head, List<String> codings, List<String> lengths)
      throws MalformedResponseException {
    if (codings.size() > 1 || !codings.getFirst().equalsIgnoreCase("chunked")) {
      throw new MalformedResponseException(
          "Transfer-Encoding", String.join(", ", codings), "chunked");
    }
    if (!lengths.isEmpty()) {
      throw new MalformedResponseException(
          "Content-Length", String.join(", ", lengths), "absent beside Transfer-Encoding");
    }
    if (head.minorVersion() == 0) {
      throw new MalformedResponseException(
          "Transfer-Encoding", codings.getFirst(), "absent in HTTP/1.0");
    }
  }

  private static long parseLength(List<String> lengths) throws MalformedResponseException {
    String digits = lengths.getFirst();
    if (lengths.size() > 1
        || digits.isEmpty()
        || digits.length() > MAX_DIGITS
        || !HttpSyntax.DIGIT.matchesAllOf(digits)) {
      throw new MalformedResponseException(
          "Content-Length", String.join(", ", lengths), "one number of at most 15 digits");
    }
    return Long.parseLong(digits);
  }

  /** Parses the line before the data of a chunk. */
  static long parseChunkSize(String line) throws MalformedResponseException {
    int digits = HttpSyntax.HEX_DIGIT.negate().indexIn(line);
    int end = digits < 0 ? line.length() : digits;
    if (end == 0 || end > MAX_DIGITS || !HttpSyntax.isChunkExtension(line.substring(end))) {
      throw new MalformedResponseException(
          "line before a chunk", line, "1 to 15 hexadecimal digits and valid extensions");
    }
    return Long.parseLong(line.substring(0, end), 16);
  }
}
