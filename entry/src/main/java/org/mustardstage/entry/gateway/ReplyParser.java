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
final class ReplyParser {
  private static final int MAX_HEAD_BYTES = 64 << 10;
  private static final int MAX_BODY_BYTES = 16 << 20;
  private static final int CONTINUE_STATUSES_BELOW = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private final boolean withoutBody;
  private byte[] buffer = new byte[2048];
  private int start;
  private int end;

  /** A reply whose head was read and whose body is awaited. */
  private Head head;

  private ByteArrayOutputStream body;
  private long bodyLeft;
  private boolean chunkHeadNext;
  private boolean trailersNext;

  private record Head(int status, HeaderList headers, Framing framing) {}

  private enum Framing {
    NONE,
    LENGTH,
    CHUNKED,
    UNTIL_CLOSE
  }

  /** The bytes are no answer. */
  static final class MalformedReplyException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedReplyException(String what) {
      super(what, null, false, false);
    }
  }

  /** Creates a parser; answers have no body if {@code withoutBody}, as after HEAD. */
  ReplyParser(boolean withoutBody) {
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
  boolean hasLeftovers() {
    return head != null || end > start;
  }

  /** Returns the next whole answer, if its bytes are all there. */
  Optional<EndpointReply> next() throws MalformedReplyException {
    while (head == null) {
      if (!readHead()) {
        return Optional.empty();
      }
      if (head.status() < CONTINUE_STATUSES_BELOW) {
        head = null;
      }
    }
    boolean whole =
        switch (head.framing()) {
          case NONE -> true;
          case LENGTH -> takeBody();
          case CHUNKED -> takeChunks();
          case UNTIL_CLOSE -> {
            bodyLeft = (long) MAX_BODY_BYTES - body.size();
            takeBody();
            yield false;
          }
        };
    return whole ? Optional.of(finish()) : Optional.empty();
  }

  /** Returns the answer that ends with its connection, if the connection ended in order. */
  Optional<EndpointReply> atEndOfStream() {
    return head != null && head.framing() == Framing.UNTIL_CLOSE
        ? Optional.of(finish())
        : Optional.empty();
  }

  private EndpointReply finish() {
    EndpointReply reply = new EndpointReply(head.status(), head.headers(), body.toByteArray());
    head = null;
    return reply;
  }

  private boolean readHead() throws MalformedReplyException {
    int headEnd = findHeadEnd();
    if (headEnd < 0) {
      if (end - start > MAX_HEAD_BYTES) {
        throw new MalformedReplyException("the head is too long");
      }
      checkStart();
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
    chunkHeadNext = true;
    trailersNext = false;
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

  private void checkStart() throws MalformedReplyException {
    byte[] expected = {'H', 'T', 'T', 'P', '/', '1', '.'};
    for (int i = 0; i < expected.length && start + i < end; i++) {
      if (buffer[start + i] != expected[i]) {
        throw new MalformedReplyException("not an HTTP answer");
      }
    }
  }

  private static int parseStatus(String line) throws MalformedReplyException {
    boolean known = line.startsWith("HTTP/1.1 ") || line.startsWith("HTTP/1.0 ");
    if (!known || line.length() < 12 || (line.length() > 12 && line.charAt(12) != ' ')) {
      throw new MalformedReplyException("not a status line");
    }
    int status = 0;
    for (int i = 9; i < 12; i++) {
      int digit = line.charAt(i) - '0';
      if (digit < 0 || digit > 9) {
        throw new MalformedReplyException("not a status");
      }
      status = 10 * status + digit;
    }
    if (status < 100) {
      throw new MalformedReplyException("status out of range");
    }
    return status;
  }

  private static HeaderList parseHeaders(String[] lines) throws MalformedReplyException {
    List<HeaderList.Line> headers = new ArrayList<>(lines.length);
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      if (colon <= 0 || lines[i].charAt(0) == ' ' || lines[i].charAt(0) == '\t') {
        throw new MalformedReplyException("not a header line");
      }
      headers.add(
          new HeaderList.Line(lines[i].substring(0, colon), lines[i].substring(colon + 1).trim()));
    }
    return new HeaderList(headers);
  }

  private Framing framingOf(int status, HeaderList headers) throws MalformedReplyException {
    boolean chunked = false;
    for (String encoding : headers.all("Transfer-Encoding")) {
      if (!encoding.equalsIgnoreCase("chunked") || chunked) {
        throw new MalformedReplyException("unknown transfer encoding");
      }
      chunked = true;
    }
    List<String> lengths = headers.all("Content-Length");
    if (chunked && !lengths.isEmpty()) {
      throw new MalformedReplyException("both a length and chunks");
    }
    if (!lengths.isEmpty()) {
      bodyLeft = parseLength(lengths);
    }
    if (withoutBody
        || status < CONTINUE_STATUSES_BELOW
        || status == NO_CONTENT
        || status == NOT_MODIFIED) {
      return Framing.NONE;
    }
    if (chunked) {
      return Framing.CHUNKED;
    }
    return lengths.isEmpty() ? Framing.UNTIL_CLOSE : Framing.LENGTH;
  }

  private static long parseLength(List<String> lengths) throws MalformedReplyException {
    String first = lengths.getFirst();
    if (!lengths.stream().allMatch(first::equals) || first.isEmpty() || first.length() > 10) {
      throw new MalformedReplyException("lengths that differ");
    }
    long length = 0;
    for (int i = 0; i < first.length(); i++) {
      int digit = first.charAt(i) - '0';
      if (digit < 0 || digit > 9) {
        throw new MalformedReplyException("not a length");
      }
      length = 10 * length + digit;
    }
    if (length > MAX_BODY_BYTES) {
      throw new MalformedReplyException("the body is too long");
    }
    return length;
  }

  /** Moves bytes to the body; returns whether all that are expected have come. */
  private boolean takeBody() throws MalformedReplyException {
    int taken = (int) Math.min(bodyLeft, end - start);
    body.write(buffer, start, taken);
    start += taken;
    bodyLeft -= taken;
    if (body.size() >= MAX_BODY_BYTES) {
      throw new MalformedReplyException("the body is too long");
    }
    return bodyLeft == 0;
  }

  private boolean takeChunks() throws MalformedReplyException {
    while (true) {
      if (trailersNext) {
        return skipTrailers();
      }
      if (chunkHeadNext) {
        Optional<String> line = takeLine();
        if (line.isEmpty()) {
          return false;
        }
        bodyLeft = parseChunkSize(line.get());
        chunkHeadNext = false;
        trailersNext = bodyLeft == 0;
        continue;
      }
      if (!takeBody()) {
        return false;
      }
      if (end - start < 2) {
        return false;
      }
      if (buffer[start] != '\r' || buffer[start + 1] != '\n') {
        throw new MalformedReplyException("a chunk does not end where it says");
      }
      start += 2;
      chunkHeadNext = true;
    }
  }

  private boolean skipTrailers() throws MalformedReplyException {
    while (true) {
      Optional<String> line = takeLine();
      if (line.isEmpty()) {
        return false;
      }
      if (line.get().isEmpty()) {
        return true;
      }
    }
  }

  private Optional<String> takeLine() throws MalformedReplyException {
    for (int i = start; i + 1 < end; i++) {
      if (buffer[i] == '\r' && buffer[i + 1] == '\n') {
        String line = new String(buffer, start, i - start, StandardCharsets.ISO_8859_1);
        start = i + 2;
        return Optional.of(line);
      }
    }
    if (end - start > MAX_HEAD_BYTES) {
      throw new MalformedReplyException("a line is too long");
    }
    return Optional.empty();
  }

  private static long parseChunkSize(String line) throws MalformedReplyException {
    int semicolon = line.indexOf(';');
    String digits = (semicolon < 0 ? line : line.substring(0, semicolon)).trim();
    if (digits.isEmpty() || digits.length() > 7) {
      throw new MalformedReplyException("not a chunk size");
    }
    long size = 0;
    for (int i = 0; i < digits.length(); i++) {
      int digit = Character.digit(digits.charAt(i), 16);
      if (digit < 0) {
        throw new MalformedReplyException("not a chunk size");
      }
      size = 16 * size + digit;
    }
    return size;
  }
}
