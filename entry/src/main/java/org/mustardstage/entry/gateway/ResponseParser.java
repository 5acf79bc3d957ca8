package org.mustardstage.entry.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Parses the bytes of one connection into HTTP responses. It is strict: any ambiguous framing is
 * malformed, as a truncated body must never be taken for a complete one.
 *
 * <p>The responses of endpoints are parsed here because the HTTP client of the library can neither
 * send the {@code Host} header that the caller sent nor tell a response from a second one that
 * follows it.
 */
final class ResponseParser {
  private static final int MAX_HEAD_BYTES = 64 << 10;

  /** Bounds chunk headers and trailer lines, which nobody reads. */
  private static final int MAX_LINE_BYTES = 4 << 10;

  private static final int MAX_BODY_BYTES = 16 << 20;
  private static final int MIN_FINAL_STATUS = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private final boolean withoutBody;
  private byte[] buffer = new byte[2048];
  private int start;
  private int end;

  /** The number of bytes from {@link #start} that are known not to hold the end of a head. */
  private int searchedBytes;

  /** The parsed head of the response whose body is being read, or null. */
  private Head head;

  private ByteArrayOutputStream body;

  /** The size of the body so far, with what was taken by {@link #takeBody}. */
  private long bodyBytes;

  private long bodyRemaining;
  private boolean atChunkHeader;
  private boolean atTrailers;

  private record Head(int status, HeaderList headers, Framing framing) {}

  private enum Framing {
    NONE,
    LENGTH,
    CHUNKED,
    UNTIL_CLOSE
  }

  /** Thrown when the bytes are not a valid HTTP response. */
  static final class MalformedResponseException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedResponseException(String message) {
      super(message, null, false, false);
    }
  }

  /** Creates a parser; responses have no body if {@code withoutBody}, as after HEAD. */
  ResponseParser(boolean withoutBody) {
    this.withoutBody = withoutBody;
  }

  /** Appends bytes that were read from the connection. */
  void add(byte[] bytes, int offset, int length) {
    if (end + length > buffer.length) {
      int buffered = end - start;
      byte[] target =
          buffered + length > buffer.length
              ? new byte[Math.max(2 * buffered, buffered + length)]
              : buffer;
      System.arraycopy(buffer, start, target, 0, buffered);
      buffer = target;
      start = 0;
      end = buffered;
    }
    System.arraycopy(bytes, offset, buffer, end, length);
    end += length;
  }

  /** Returns an upper bound of the memory that the incomplete response holds. */
  long heldBytes() {
    return buffer.length + (body == null ? 0 : 2L * body.size());
  }

  /** Returns whether there are bytes that belong to no response returned so far. */
  boolean hasUnconsumedBytes() {
    return head != null || end > start;
  }

  /** Returns the next response once all its bytes have arrived. Skips interim (1xx) responses. */
  Optional<EndpointResponse> next() throws MalformedResponseException {
    while (head == null) {
      if (!readHead()) {
        return Optional.empty();
      }
      if (head.status() < MIN_FINAL_STATUS) {
        head = null;
      }
    }
    boolean complete =
        switch (head.framing()) {
          case NONE -> true;
          case LENGTH -> consumeBody();
          case CHUNKED -> consumeChunks();
          case UNTIL_CLOSE -> {
            bodyRemaining = MAX_BODY_BYTES - bodyBytes;
            consumeBody();
            yield false;
          }
        };
    return complete ? Optional.of(finish()) : Optional.empty();
  }

  /**
   * Returns the response that has no length and is delimited by the end of the connection, if one
   * is being read. To be called only when the peer has ended the stream in order.
   */
  Optional<EndpointResponse> atEndOfStream() {
    return head != null && head.framing() == Framing.UNTIL_CLOSE
        ? Optional.of(finish())
        : Optional.empty();
  }

  /** Returns the head of the response whose body is incomplete, if there is one. */
  Optional<EndpointResponse> incomplete() {
    return head == null
        ? Optional.empty()
        : Optional.of(new EndpointResponse(head.status(), head.headers(), new byte[0]));
  }

  /** Returns the length of the body that is incomplete, if the endpoint stated it. */
  OptionalLong statedLength() {
    return head != null && head.framing() == Framing.LENGTH
        ? OptionalLong.of(bodyBytes + bodyRemaining)
        : OptionalLong.empty();
  }

  /** Removes and returns what has arrived of the incomplete body. */
  byte[] takeBody() {
    byte[] taken = body.toByteArray();
    body.reset();
    return taken;
  }

  private EndpointResponse finish() {
    EndpointResponse response =
        new EndpointResponse(head.status(), head.headers(), body.toByteArray());
    head = null;
    body = null;
    return response;
  }

  private boolean readHead() throws MalformedResponseException {
    int headEnd = findHeadEnd();
    if (headEnd < 0) {
      if (end - start > MAX_HEAD_BYTES) {
        throw new MalformedResponseException("response head is too long");
      }
      checkProtocolPrefix();
      return false;
    }
    String text = new String(buffer, start, headEnd - start, StandardCharsets.ISO_8859_1);
    start = headEnd + 4;
    String[] lines = text.split("\r\n", -1);
    int status = parseStatus(lines[0]);
    HeaderList headers = parseHeaders(lines);
    Framing framing = framingOf(status, headers);
    head = new Head(status, headers, framing);
    body = new ByteArrayOutputStream();
    bodyBytes = 0;
    atChunkHeader = true;
    atTrailers = false;
    return true;
  }

  /** Continues where the last search ended, so that a head that arrives slowly costs no more. */
  private int findHeadEnd() {
    for (int i = start + searchedBytes; i + 3 < end; i++) {
      if (buffer[i] == '\r'
          && buffer[i + 1] == '\n'
          && buffer[i + 2] == '\r'
          && buffer[i + 3] == '\n') {
        searchedBytes = 0;
        return i;
      }
    }
    searchedBytes = Math.max(0, end - start - 3);
    return -1;
  }

  private void checkProtocolPrefix() throws MalformedResponseException {
    byte[] expected = {'H', 'T', 'T', 'P', '/', '1', '.'};
    for (int i = 0; i < expected.length && start + i < end; i++) {
      if (buffer[start + i] != expected[i]) {
        throw new MalformedResponseException("not an HTTP/1.x response");
      }
    }
  }

  private static int parseStatus(String line) throws MalformedResponseException {
    boolean isSupported = line.startsWith("HTTP/1.1 ") || line.startsWith("HTTP/1.0 ");
    if (!isSupported || line.length() < 12 || (line.length() > 12 && line.charAt(12) != ' ')) {
      throw new MalformedResponseException("malformed status line");
    }
    int status = 0;
    for (int i = 9; i < 12; i++) {
      int digit = line.charAt(i) - '0';
      if (digit < 0 || digit > 9) {
        throw new MalformedResponseException("status is not a number");
      }
      status = 10 * status + digit;
    }
    if (status < 100) {
      throw new MalformedResponseException("status is less than 100");
    }
    return status;
  }

  private static HeaderList parseHeaders(String[] lines) throws MalformedResponseException {
    List<HeaderList.Line> headers = new ArrayList<>(lines.length);
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      if (colon <= 0 || lines[i].charAt(0) == ' ' || lines[i].charAt(0) == '\t') {
        throw new MalformedResponseException("malformed header line");
      }
      headers.add(
          new HeaderList.Line(lines[i].substring(0, colon), lines[i].substring(colon + 1).trim()));
    }
    return new HeaderList(headers);
  }

  private Framing framingOf(int status, HeaderList headers) throws MalformedResponseException {
    boolean chunked = false;
    for (String encoding : headers.all("Transfer-Encoding")) {
      if (!encoding.equalsIgnoreCase("chunked") || chunked) {
        throw new MalformedResponseException("unsupported or repeated transfer encoding");
      }
      chunked = true;
    }
    List<String> lengths = headers.all("Content-Length");
    if (chunked && !lengths.isEmpty()) {
      throw new MalformedResponseException("both Content-Length and Transfer-Encoding");
    }
    if (!lengths.isEmpty()) {
      bodyRemaining = parseLength(lengths);
    }
    if (withoutBody
        || status < MIN_FINAL_STATUS
        || status == NO_CONTENT
        || status == NOT_MODIFIED) {
      return Framing.NONE;
    }
    if (chunked) {
      return Framing.CHUNKED;
    }
    return lengths.isEmpty() ? Framing.UNTIL_CLOSE : Framing.LENGTH;
  }

  private static long parseLength(List<String> lengths) throws MalformedResponseException {
    String first = lengths.getFirst();
    if (!lengths.stream().allMatch(first::equals) || first.isEmpty() || first.length() > 10) {
      throw new MalformedResponseException("conflicting, empty or too long Content-Length");
    }
    long length = 0;
    for (int i = 0; i < first.length(); i++) {
      int digit = first.charAt(i) - '0';
      if (digit < 0 || digit > 9) {
        throw new MalformedResponseException("Content-Length is not a number");
      }
      length = 10 * length + digit;
    }
    if (length > MAX_BODY_BYTES) {
      throw new MalformedResponseException("response body is too long");
    }
    return length;
  }

  /** Appends buffered bytes to the body; returns whether all expected bytes have arrived. */
  private boolean consumeBody() throws MalformedResponseException {
    int length = (int) Math.min(bodyRemaining, end - start);
    body.write(buffer, start, length);
    start += length;
    bodyRemaining -= length;
    bodyBytes += length;
    if (bodyBytes >= MAX_BODY_BYTES) {
      throw new MalformedResponseException("response body is too long");
    }
    return bodyRemaining == 0;
  }

  private boolean consumeChunks() throws MalformedResponseException {
    while (true) {
      if (atTrailers) {
        return skipTrailers();
      }
      if (atChunkHeader) {
        Optional<String> line = consumeLine();
        if (line.isEmpty()) {
          return false;
        }
        bodyRemaining = parseChunkSize(line.get());
        atChunkHeader = false;
        atTrailers = bodyRemaining == 0;
        continue;
      }
      if (!consumeBody()) {
        return false;
      }
      if (end - start < 2) {
        return false;
      }
      if (buffer[start] != '\r' || buffer[start + 1] != '\n') {
        throw new MalformedResponseException("chunk data is not followed by CRLF");
      }
      start += 2;
      atChunkHeader = true;
    }
  }

  private boolean skipTrailers() throws MalformedResponseException {
    while (true) {
      Optional<String> line = consumeLine();
      if (line.isEmpty()) {
        return false;
      }
      if (line.get().isEmpty()) {
        return true;
      }
    }
  }

  private Optional<String> consumeLine() throws MalformedResponseException {
    for (int i = start; i + 1 < end; i++) {
      if (buffer[i] == '\r' && buffer[i + 1] == '\n') {
        String line = new String(buffer, start, i - start, StandardCharsets.ISO_8859_1);
        start = i + 2;
        return Optional.of(line);
      }
    }
    if (end - start > MAX_LINE_BYTES) {
      throw new MalformedResponseException("chunk header or trailer line is too long");
    }
    return Optional.empty();
  }

  private static long parseChunkSize(String line) throws MalformedResponseException {
    int semicolon = line.indexOf(';');
    String digits = (semicolon < 0 ? line : line.substring(0, semicolon)).trim();
    if (digits.isEmpty() || digits.length() > 7) {
      throw new MalformedResponseException("malformed chunk size");
    }
    long size = 0;
    for (int i = 0; i < digits.length(); i++) {
      int digit = Character.digit(digits.charAt(i), 16);
      if (digit < 0) {
        throw new MalformedResponseException("malformed chunk size");
      }
      size = 16 * size + digit;
    }
    return size;
  }
}
