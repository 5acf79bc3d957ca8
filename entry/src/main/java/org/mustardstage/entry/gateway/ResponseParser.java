package org.mustardstage.entry.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Cuts the bytes of one connection into answers. It is strict: what doesn't frame an answer beyond
 * doubt is malformed, as a body that is cut short must never look whole.
 *
 * <p>The HTTP client of the library can neither set the host that the caller named nor tell an
 * answer from a second one that follows it, so answers of endpoints are read here.
 */
final class ResponseParser {
  private static final int MAX_HEAD_BYTES = 64 << 10;
  private static final int MAX_BODY_BYTES = 16 << 20;
  private static final int MIN_FINAL_STATUS = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private final boolean withoutBody;
  private byte[] buffer = new byte[2048];
  private int start;
  private int end;

  /** A reply whose head was read and whose body is awaited. */
  private Head head;

  private ByteArrayOutputStream body;
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

  /** The bytes are no answer. */
  static final class MalformedResponseException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedResponseException(String what) {
      super(what, null, false, false);
    }
  }

  /** Creates a parser; answers have no body if {@code withoutBody}, as after HEAD. */
  ResponseParser(boolean withoutBody) {
    this.withoutBody = withoutBody;
  }

  /** Adds bytes that were read. */
  void add(byte[] bytes, int offset, int length) {
    if (end + length > buffer.length) {
      int held = end - start;
      byte[] target =
          held + length > buffer.length ? new byte[Math.max(2 * held, held + length)] : buffer;
      System.arraycopy(buffer, start, target, 0, held);
      buffer = target;
      start = 0;
      end = held;
    }
    System.arraycopy(bytes, offset, buffer, end, length);
    end += length;
  }

  /** Returns whether bytes are held that belong to no answer yet returned. */
  boolean hasUnconsumedBytes() {
    return head != null || end > start;
  }

  /** Returns the next whole answer, if its bytes are all there. */
  Optional<EndpointResponse> next() throws MalformedResponseException {
    while (head == null) {
      if (!readHead()) {
        return Optional.empty();
      }
      if (head.status() < MIN_FINAL_STATUS) {
        head = null;
      }
    }
    boolean whole =
        switch (head.framing()) {
          case NONE -> true;
          case LENGTH -> consumeBody();
          case CHUNKED -> consumeChunks();
          case UNTIL_CLOSE -> {
            bodyRemaining = (long) MAX_BODY_BYTES - body.size();
            consumeBody();
            yield false;
          }
        };
    return whole ? Optional.of(finish()) : Optional.empty();
  }

  /** Returns the answer that ends with its connection, if the connection ended in order. */
  Optional<EndpointResponse> atEndOfStream() {
    return head != null && head.framing() == Framing.UNTIL_CLOSE
        ? Optional.of(finish())
        : Optional.empty();
  }

  private EndpointResponse finish() {
    EndpointResponse reply = new EndpointResponse(head.status(), head.headers(), body.toByteArray());
    head = null;
    return reply;
  }

  private boolean readHead() throws MalformedResponseException {
    int headEnd = findHeadEnd();
    if (headEnd < 0) {
      if (end - start > MAX_HEAD_BYTES) {
        throw new MalformedResponseException("the head is too long");
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
    atChunkHeader = true;
    atTrailers = false;
    return true;
  }

  private int findHeadEnd() {
    for (int i = start; i + 3 < end; i++) {
      if (buffer[i] == '\r'
          && buffer[i + 1] == '\n'
          && buffer[i + 2] == '\r'
          && buffer[i + 3] == '\n') {
        return i;
      }
    }
    return -1;
  }

  private void checkProtocolPrefix() throws MalformedResponseException {
    byte[] expected = {'H', 'T', 'T', 'P', '/', '1', '.'};
    for (int i = 0; i < expected.length && start + i < end; i++) {
      if (buffer[start + i] != expected[i]) {
        throw new MalformedResponseException("not an HTTP answer");
      }
    }
  }

  private static int parseStatus(String line) throws MalformedResponseException {
    boolean known = line.startsWith("HTTP/1.1 ") || line.startsWith("HTTP/1.0 ");
    if (!known || line.length() < 12 || (line.length() > 12 && line.charAt(12) != ' ')) {
      throw new MalformedResponseException("not a status line");
    }
    int status = 0;
    for (int i = 9; i < 12; i++) {
      int digit = line.charAt(i) - '0';
      if (digit < 0 || digit > 9) {
        throw new MalformedResponseException("not a status");
      }
      status = 10 * status + digit;
    }
    if (status < 100) {
      throw new MalformedResponseException("status out of range");
    }
    return status;
  }

  private static HeaderList parseHeaders(String[] lines) throws MalformedResponseException {
    List<HeaderList.Line> headers = new ArrayList<>(lines.length);
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      if (colon <= 0 || lines[i].charAt(0) == ' ' || lines[i].charAt(0) == '\t') {
        throw new MalformedResponseException("not a header line");
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
        throw new MalformedResponseException("unknown transfer encoding");
      }
      chunked = true;
    }
    List<String> lengths = headers.all("Content-Length");
    if (chunked && !lengths.isEmpty()) {
      throw new MalformedResponseException("both a length and chunks");
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
      throw new MalformedResponseException("lengths that differ");
    }
    long length = 0;
    for (int i = 0; i < first.length(); i++) {
      int digit = first.charAt(i) - '0';
      if (digit < 0 || digit > 9) {
        throw new MalformedResponseException("not a length");
      }
      length = 10 * length + digit;
    }
    if (length > MAX_BODY_BYTES) {
      throw new MalformedResponseException("the body is too long");
    }
    return length;
  }

  /** Moves bytes to the body; returns whether all that are expected have come. */
  private boolean consumeBody() throws MalformedResponseException {
    int taken = (int) Math.min(bodyRemaining, end - start);
    body.write(buffer, start, taken);
    start += taken;
    bodyRemaining -= taken;
    if (body.size() >= MAX_BODY_BYTES) {
      throw new MalformedResponseException("the body is too long");
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
        throw new MalformedResponseException("a chunk does not end where it says");
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
    if (end - start > MAX_HEAD_BYTES) {
      throw new MalformedResponseException("a line is too long");
    }
    return Optional.empty();
  }

  private static long parseChunkSize(String line) throws MalformedResponseException {
    int semicolon = line.indexOf(';');
    String digits = (semicolon < 0 ? line : line.substring(0, semicolon)).trim();
    if (digits.isEmpty() || digits.length() > 7) {
      throw new MalformedResponseException("not a chunk size");
    }
    long size = 0;
    for (int i = 0; i < digits.length(); i++) {
      int digit = Character.digit(digits.charAt(i), 16);
      if (digit < 0) {
        throw new MalformedResponseException("not a chunk size");
      }
      size = 16 * size + digit;
    }
    return size;
  }
}
