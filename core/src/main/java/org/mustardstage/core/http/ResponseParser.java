package org.mustardstage.core.http;

import com.google.common.math.LongMath;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Parses what arrives on a connection after one request. It is strict: a peer that departs from the
 * grammar of HTTP/1.x in one place is in trouble or is no HTTP server, and what it sends may be
 * cut, mixed or changed in others. A byte that can't be part of a response is reported when it
 * arrives, so that nobody waits for the rest.
 */
public final class ResponseParser {
  /** The memory that a header line takes beside its text. */
  private static final int HEADER_OVERHEAD_BYTES = 128;

  private static final int SWITCHING_PROTOCOLS = 101;
  private static final int CRLF_BYTES = 2;
  private static final int INITIAL_BUFFER_BYTES = 2 << 10;

  private final ResponseLimits limits;
  private final boolean withoutBody;
  private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
  private int start;
  private int end;

  /** The number of bytes from {@link #start} that are known to be part of an incomplete line. */
  private int searchedBytes;

  /** The bytes of all heads, trailers and chunk extensions so far. */
  private int headBytes;

  private int headerCount;

  /** The bytes of all bodies so far, of which only the last may be that of the response. */
  private long allBodyBytes;

  private State state = State.STATUS_LINE;
  private Optional<ResponseHead> statusLine = Optional.empty();
  private final List<HeaderList.Line> headerLines = new ArrayList<>();

  /** The head of the response whose body is being read. */
  private Optional<ResponseHead> head = Optional.empty();

  private BodyFraming framing = new BodyFraming.None();
  private byte[] body = new byte[0];
  private int bodyBytes;

  /** The bytes that are missing of the body or of the chunk. */
  private long remainingBytes;

  /** What the next bytes belong to. */
  private enum State {
    STATUS_LINE,
    HEADERS,
    BODY,
    CHUNK_SIZE,
    CHUNK,
    CHUNK_END,
    TRAILERS,
    COMPLETE
  }

  /**
   * A complete response.
   *
   * @param body the body; must not be modified
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record Response(ResponseHead head, byte[] body) {}

  /** Creates a parser; the response has no body if {@code withoutBody}, as after HEAD. */
  public ResponseParser(ResponseLimits limits, boolean withoutBody) {
    this.limits = limits;
    this.withoutBody = withoutBody;
  }

  /** Appends bytes that were read from the connection. */
  public void add(byte[] bytes, int offset, int length) {
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

  /**
   * Returns an upper bound of the memory that the incomplete response holds. A body counts twice,
   * as it is copied when it grows and when it is complete.
   */
  public long heldBytes() {
    long bodyMemory = Math.max(body.length, 2L * bodyBytes);
    return buffer.length + bodyMemory + headBytes + (long) HEADER_OVERHEAD_BYTES * headerCount;
  }

  /** Returns whether there are bytes that belong to no response returned so far. */
  public boolean hasUnconsumedBytes() {
    return state != State.STATUS_LINE || end > start;
  }

  /** Returns how many bytes have arrived after those that were parsed. */
  public int unparsedBytes() {
    return end - start;
  }

  /** Returns the next response once all its bytes have arrived. Skips interim (1xx) responses. */
  public Optional<Response> next() throws MalformedResponseException {
    boolean advanced = true;
    while (advanced && state != State.COMPLETE) {
      advanced =
          switch (state) {
            case STATUS_LINE -> readStatusLine();
            case HEADERS -> readHeader();
            case BODY -> readBody(State.COMPLETE);
            case CHUNK_SIZE -> readChunkSize();
            case CHUNK -> readBody(State.CHUNK_END);
            case CHUNK_END -> readChunkEnd();
            case TRAILERS -> readTrailer();
            case COMPLETE -> false;
          };
    }
    return state == State.COMPLETE ? Optional.of(finish()) : Optional.empty();
  }

  /**
   * Returns the response that has no length and is delimited by the end of the connection, if one
   * is being read. To be called only when the peer has ended the stream in order.
   */
  public Optional<Response> atEndOfStream() {
    return head.isPresent() && framing instanceof BodyFraming.UntilClose
        ? Optional.of(finish())
        : Optional.empty();
  }

  /** Returns the head of the response whose body is incomplete, if there is one. */
  public Optional<ResponseHead> incomplete() {
    return head;
  }

  /** Returns the length of the body that is incomplete, if the peer stated it. */
  public OptionalLong statedLength() {
    return framing instanceof BodyFraming.Length length
        ? OptionalLong.of(length.bytes())
        : OptionalLong.empty();
  }

  /** Removes and returns what has arrived of the incomplete body. */
  public byte[] takeBody() {
    byte[] taken = Arrays.copyOf(body, bodyBytes);
    dropBody();
    return taken;
  }

  /** Removes what has arrived of the incomplete body. */
  public void dropBody() {
    bodyBytes = 0;
  }

  private Response finish() {
    Response response =
        new Response(
            head.orElseThrow(), bodyBytes == body.length ? body : Arrays.copyOf(body, bodyBytes));
    head = Optional.empty();
    body = new byte[0];
    bodyBytes = 0;
    state = State.STATUS_LINE;
    return response;
  }

  private boolean readStatusLine() throws MalformedResponseException {
    String beginning = text(start, Math.min(end, start + ResponseHead.VERSION_PREFIX.length()));
    if (!ResponseHead.VERSION_PREFIX.startsWith(beginning)) {
      throw new MalformedResponseException("first bytes of a response", beginning, "HTTP/1.");
    }
    Optional<String> line = takeLine();
    if (line.isEmpty()) {
      return false;
    }
    statusLine = Optional.of(ResponseHead.parseStatusLine(line.get()));
    headerLines.clear();
    state = State.HEADERS;
    return true;
  }

  private boolean readHeader() throws MalformedResponseException {
    Optional<String> line = takeLine();
    if (line.isEmpty()) {
      return false;
    }
    if (line.get().isEmpty()) {
      onHead(statusLine.orElseThrow().withHeaders(new HeaderList(headerLines)));
    } else {
      headerLines.add(parseField(line.get()));
    }
    return true;
  }

  private HeaderList.Line parseField(String line) throws MalformedResponseException {
    headerCount++;
    if (headerCount > limits.maxHeaders()) {
      throw new MalformedResponseException(
          "number of header lines", String.valueOf(headerCount), "at most " + limits.maxHeaders());
    }
    return ResponseHead.parseField(line);
  }

  private void onHead(ResponseHead complete) throws MalformedResponseException {
    if (complete.status() == SWITCHING_PROTOCOLS) {
      throw new MalformedResponseException(
          "status", String.valueOf(SWITCHING_PROTOCOLS), "another, as no upgrade was requested");
    }
    framing = BodyFraming.of(complete, withoutBody);
    if (complete.isInterim()) {
      state = State.STATUS_LINE;
      return;
    }
    head = Optional.of(complete);
    remainingBytes = 0;
    switch (framing) {
      case BodyFraming.None none -> state = State.COMPLETE;
      case BodyFraming.Length length -> expectBody(length.bytes(), State.BODY);
      case BodyFraming.Chunked chunked -> state = State.CHUNK_SIZE;
      case BodyFraming.UntilClose untilClose -> {
        // One byte more than allowed, so that the end of the connection is awaited.
        remainingBytes = LongMath.saturatedAdd(limits.maxBodyBytes() - allBodyBytes, 1);
        state = State.BODY;
      }
    }
  }

  private void expectBody(long bytes, State next) throws MalformedResponseException {
    if (bytes > limits.maxBodyBytes() - allBodyBytes) {
      throw tooLong(allBodyBytes + bytes);
    }
    remainingBytes = bytes;
    state = next;
  }

  private MalformedResponseException tooLong(long bytes) {
    return new MalformedResponseException(
        "size of the body", String.valueOf(bytes), "at most " + limits.maxBodyBytes() + " bytes");
  }

  /** Appends buffered bytes to the body, and goes on to {@code next} when all have arrived. */
  private boolean readBody(State next) throws MalformedResponseException {
    int length = (int) Math.min(remainingBytes, end - start);
    if (bodyBytes + length > body.length) {
      body = Arrays.copyOf(body, Math.max(2 * bodyBytes, bodyBytes + length));
    }
    System.arraycopy(buffer, start, body, bodyBytes, length);
    bodyBytes += length;
    allBodyBytes += length;
    start += length;
    remainingBytes -= length;
    if (allBodyBytes > limits.maxBodyBytes()) {
      throw tooLong(allBodyBytes);
    }
    if (remainingBytes > 0) {
      return false;
    }
    state = next;
    return true;
  }

  private boolean readChunkSize() throws MalformedResponseException {
    int before = headBytes;
    Optional<String> line = takeLine();
    if (line.isEmpty()) {
      return false;
    }
    // Only extensions count: the sizes of many small chunks are allowed.
    int semicolon = line.get().indexOf(';');
    headBytes = before + (semicolon < 0 ? 0 : line.get().length() - semicolon);
    long size = BodyFraming.parseChunkSize(line.get());
    expectBody(size, size == 0 ? State.TRAILERS : State.CHUNK);
    return true;
  }

  private boolean readChunkEnd() throws MalformedResponseException {
    int before = headBytes;
    Optional<String> line = takeLine();
    if (line.isEmpty()) {
      return false;
    }
    headBytes = before;
    if (!line.get().isEmpty()) {
      throw new MalformedResponseException("end of a chunk", line.get(), "an empty line");
    }
    state = State.CHUNK_SIZE;
    return true;
  }

  private boolean readTrailer() throws MalformedResponseException {
    Optional<String> line = takeLine();
    if (line.isEmpty()) {
      return false;
    }
    if (line.get().isEmpty()) {
      state = State.COMPLETE;
    } else {
      parseField(line.get());
    }
    return true;
  }

  /**
   * Removes and returns the next line without its CRLF, once that has arrived. Continues where the
   * last search ended, so that a line that arrives slowly costs no more.
   */
  private Optional<String> takeLine() throws MalformedResponseException {
    int at = start + searchedBytes;
    while (at < end && isText(buffer[at])) {
      at++;
    }
    searchedBytes = at - start;
    checkHeadSize(searchedBytes);
    boolean isCr = at < end && buffer[at] == '\r';
    if (at == end || (isCr && at + 1 == end)) {
      return Optional.empty();
    }
    if (!isCr || buffer[at + 1] != '\n') {
      throw new MalformedResponseException(
          "line of a response",
          text(start, Math.min(end, at + 2)),
          "visible characters, spaces and tabs, ended by CRLF");
    }
    String line = text(start, at);
    headBytes += searchedBytes + CRLF_BYTES;
    start = at + CRLF_BYTES;
    searchedBytes = 0;
    return Optional.of(line);
  }

  private void checkHeadSize(int lineBytes) throws MalformedResponseException {
    if (headBytes + lineBytes > limits.maxHeadBytes()) {
      throw new MalformedResponseException(
          "size of the head",
          String.valueOf(headBytes + lineBytes),
          "at most " + limits.maxHeadBytes() + " bytes");
    }
  }

  private static boolean isText(byte octet) {
    return HttpSyntax.isText((char) Byte.toUnsignedInt(octet));
  }

  private String text(int from, int to) {
    return new String(buffer, from, to - from, StandardCharsets.ISO_8859_1);
  }
}
