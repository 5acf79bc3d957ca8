package org.mustardstage.core.http;

import com.google.common.collect.ImmutableList;

/**
 * The head of a response.
 *
 * @param minorVersion 0 or 1, for HTTP/1.0 or HTTP/1.1
 * @param status the status code
 * @param headers the header lines, in their order
 */
public record ResponseHead(int minorVersion, int status, HeaderList headers) {
  static final String VERSION_PREFIX = "HTTP/1.";
  private static final int STATUS_START = VERSION_PREFIX.length() + 2;
  private static final int REASON_START = STATUS_START + 4;
  private static final int MIN_STATUS = 100;
  private static final int MAX_STATUS = 599;
  private static final int MIN_FINAL_STATUS = 200;

  /** Returns whether a final response follows. */
  public boolean isInterim() {
    return status < MIN_FINAL_STATUS;
  }

  /** Returns the head with other headers. */
  ResponseHead withHeaders(HeaderList newHeaders) {
    return new ResponseHead(minorVersion, status, newHeaders);
  }

  /**
   * Parses a {@code status-line} of characters that are {@link HttpSyntax#isText}; the head has no
   * headers.
   */
  static ResponseHead parseStatusLine(String line) throws MalformedResponseException {
    boolean isComplete =
        line.startsWith(VERSION_PREFIX)
            && line.length() >= REASON_START
            && line.charAt(STATUS_START - 1) == ' '
            && line.charAt(REASON_START - 1) == ' ';
    char minorVersion = isComplete ? line.charAt(VERSION_PREFIX.length()) : 0;
    if (minorVersion != '0' && minorVersion != '1') {
      throw new MalformedResponseException(
          "status line", line, "HTTP/1.0 or HTTP/1.1, a space, three digits, a space, a reason");
    }
    String digits = line.substring(STATUS_START, REASON_START - 1);
    int status = HttpSyntax.DIGIT.matchesAllOf(digits) ? Integer.parseInt(digits) : 0;
    if (status < MIN_STATUS || status > MAX_STATUS) {
      throw new MalformedResponseException("status", digits, "a number from 100 to 599");
    }
    return new ResponseHead(minorVersion - '0', status, new HeaderList(ImmutableList.of()));
  }

  /**
   * Parses a {@code field-line} of characters that are {@link HttpSyntax#isText}, of a head or a
   * trailer section.
   */
  static HeaderList.Line parseField(String line) throws MalformedResponseException {
    int colon = line.indexOf(':');
    String name = colon < 0 ? line : line.substring(0, colon);
    if (colon < 0 || !HttpSyntax.isToken(name)) {
      throw new MalformedResponseException(
          "header name", name, "letters, digits and !#$%&'*+-.^_`|~ before a colon");
    }
    return new HeaderList.Line(name, HttpSyntax.BLANK.trimFrom(line.substring(colon + 1)));
  }
}
