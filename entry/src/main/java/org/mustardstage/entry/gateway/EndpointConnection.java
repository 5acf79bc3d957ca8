package org.mustardstage.entry.gateway;

import com.google.common.primitives.Ints;
import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * One connection to an endpoint, which carries one request at a time. What arrives while it carries
 * none belongs to nobody and ends it; an answer with another request's id is passed over.
 */
final class EndpointConnection {
  /** A reset that comes later than this after a request was sent is about the request itself. */
  private static final long STALE_RESET_WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final NioReactor reactor;
  private final InetSocketAddress address;
  private final HeaderNames headerNames;
  private final Runnable onClosed;
  private Optional<TcpSocket> socket = Optional.empty();
  private Optional<Exchange> exchange = Optional.empty();
  private ResponseParser parser = new ResponseParser(false);
  private boolean closed;
  private boolean desynchronized;
  private long lastResponseNanos = System.nanoTime();
  private OptionalLong connectNanos = OptionalLong.empty();
  private long keepAliveMillis = Long.MAX_VALUE;
  private long idleNanos;

  /** A request that is being carried. */
  private static final class Exchange {
    private final String requestId;
    private final SettablePromise<Either<ConnectionFailure, EndpointResponse>> result = new SettablePromise<>();
    private final long idleNanos;
    private final long startedNanos = System.nanoTime();
    private boolean written;
    private boolean responseStarted;

    /** {@code restedNanos} is how long the link carried nothing before, 0 for a new one. */
    Exchange(String requestId, long restedNanos) {
      this.requestId = requestId;
      this.idleNanos = restedNanos;
    }

    boolean metStaleConnection() {
      return idleNanos > 0
          && !responseStarted
          && System.nanoTime() - startedNanos < STALE_RESET_WINDOW_NANOS;
    }
  }

  EndpointConnection(NioReactor reactor, InetSocketAddress address, HeaderNames dialect, Runnable onClosed) {
    this.reactor = reactor;
    this.address = address;
    this.headerNames = dialect;
    this.onClosed = onClosed;
  }

  /** Connects and sends the first request. */
  Promise<Either<ConnectionFailure, EndpointResponse>> connectAndSend(
      Duration connectTimeout, String requestId, boolean withoutBody, byte[] request) {
    long startedNanos = System.nanoTime();
    Exchange first = new Exchange(requestId, /* restedNanos= */ 0);
    exchange = Optional.of(first);
    TcpSocket.connect(reactor, address, connectTimeout, null)
        .whenResult(made -> onConnected(made, startedNanos, first, withoutBody, request))
        .whenException(e -> fail(ConnectionFailure.CONNECT_FAILED));
    return first.result;
  }

  private void onConnected(
      TcpSocket made, long startedNanos, Exchange first, boolean withoutBody, byte[] request) {
    if (closed) {
      made.close();
      return;
    }
    connectNanos = OptionalLong.of(System.nanoTime() - startedNanos);
    socket = Optional.of(made);
    read();
    write(first, withoutBody, request);
  }

  /** Sends a request over a link that is idle. */
  Promise<Either<ConnectionFailure, EndpointResponse>> send(
      String requestId, boolean withoutBody, byte[] request) {
    connectNanos = OptionalLong.empty();
    idleNanos = System.nanoTime() - lastResponseNanos;
    Exchange next = new Exchange(requestId, idleNanos);
    exchange = Optional.of(next);
    write(next, withoutBody, request);
    return next.result;
  }

  private void write(Exchange current, boolean withoutBody, byte[] request) {
    parser = new ResponseParser(withoutBody);
    socket
        .orElseThrow()
        .write(ByteBuf.wrapForReading(request))
        .whenResult(() -> current.written = true)
        .whenException(e -> fail(ConnectionFailure.CONNECTION_LOST));
  }

  private void read() {
    TcpSocket from = socket.orElseThrow();
    from.read().whenResult(this::onRead).whenException(e -> fail(ConnectionFailure.CONNECTION_LOST));
  }

  private void onRead(ByteBuf buf) {
    if (closed) {
      if (buf != null) {
        buf.recycle();
      }
      return;
    }
    if (buf == null) {
      onEndOfStream();
      return;
    }
    if (exchange.isEmpty()) {
      buf.recycle();
      close();
      return;
    }
    exchange.get().responseStarted = true;
    parser.add(buf.array(), buf.head(), buf.readRemaining());
    buf.recycle();
    try {
      consumeResponses();
    } catch (ResponseParser.MalformedResponseException e) {
      fail(ConnectionFailure.MALFORMED);
      return;
    }
    if (!closed) {
      read();
    }
  }

  private void consumeResponses() throws ResponseParser.MalformedResponseException {
    while (exchange.isPresent()) {
      Optional<EndpointResponse> reply = parser.next();
      if (reply.isEmpty()) {
        return;
      }
      if (isForOtherRequest(reply.get())) {
        desynchronized = true;
        continue;
      }
      finish(reply.get());
    }
  }

  private boolean isForOtherRequest(EndpointResponse reply) {
    Optional<String> id = reply.headers().find(headerNames.requestId());
    return id.isPresent() && !id.get().equals(exchange.orElseThrow().requestId);
  }

  private void finish(EndpointResponse reply) {
    Exchange done = exchange.orElseThrow();
    lastResponseNanos = System.nanoTime();
    recordKeepAlive(reply);
    boolean mayBeUsedAgain =
        !desynchronized && done.written && !parser.hasUnconsumedBytes() && !requestsClose(reply);
    exchange = Optional.empty();
    if (!mayBeUsedAgain) {
      close();
    }
    done.result.trySet(Either.right(reply));
  }

  private static boolean requestsClose(EndpointResponse reply) {
    return reply.headers().all("Connection").stream()
        .anyMatch(value -> value.toLowerCase(Locale.ROOT).contains("close"));
  }

  private void recordKeepAlive(EndpointResponse reply) {
    reply
        .headers()
        .find("Keep-Alive")
        .flatMap(EndpointConnection::parseTimeoutMillis)
        .ifPresent(millis -> keepAliveMillis = millis);
  }

  private static Optional<Long> parseTimeoutMillis(String keepAlive) {
    for (String part : keepAlive.split(",", -1)) {
      String text = part.trim();
      if (text.startsWith("timeout=")) {
        Integer seconds = Ints.tryParse(text.substring(8));
        return Optional.ofNullable(seconds).map(s -> 1_000L * s);
      }
    }
    return Optional.empty();
  }

  private void onEndOfStream() {
    Optional<EndpointResponse> last = exchange.isPresent() ? parser.atEndOfStream() : Optional.empty();
    if (last.isPresent() && !isForOtherRequest(last.get())) {
      desynchronized = true;
      finish(last.get());
      return;
    }
    fail(ConnectionFailure.CONNECTION_LOST);
  }

  private void fail(ConnectionFailure failure) {
    Optional<Exchange> failed = exchange;
    exchange = Optional.empty();
    close();
    failed.ifPresent(
        each ->
            each.result.trySet(
                Either.left(
                    failure == ConnectionFailure.CONNECTION_LOST && each.metStaleConnection()
                        ? ConnectionFailure.RESET_AFTER_IDLE
                        : failure)));
  }

  /** Closes the link; the promise of a request that it still carries is never completed. */
  void close() {
    if (closed) {
      return;
    }
    closed = true;
    exchange = Optional.empty();
    socket.ifPresent(TcpSocket::close);
    onClosed.run();
  }

  boolean isClosed() {
    return closed;
  }

  /** Returns whether the link is open and carries nothing. */
  boolean isIdle() {
    return !closed && exchange.isEmpty();
  }

  /** Returns when the last answer came, or the link was made. */
  long lastResponseNanos() {
    return lastResponseNanos;
  }

  /** Returns how long the link had rested before the last request. */
  long idleMillis() {
    return TimeUnit.NANOSECONDS.toMillis(idleNanos);
  }

  /** Returns how long the endpoint said it keeps an idle connection. */
  long keepAliveMillis() {
    return keepAliveMillis;
  }

  /** Returns how long connecting took, if it was done for the last request. */
  OptionalLong connectNanos() {
    return connectNanos;
  }
}
