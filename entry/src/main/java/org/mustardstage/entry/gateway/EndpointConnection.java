package org.mustardstage.entry.gateway;

import io.activej.async.exception.AsyncTimeoutException;
import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.mustardstage.core.http.CarriedRequestIds;
import org.mustardstage.core.http.MalformedResponseException;
import org.mustardstage.core.http.ResponseLimits;
import org.mustardstage.core.http.ResponseParser;
import org.mustardstage.core.overload.BufferBudget;
import org.mustardstage.entry.http.MalformedResponses;
import org.mustardstage.entry.http.MalformedResponses.Peers;

/**
 * One connection to an endpoint, which carries one request at a time, and each request id at most
 * once. Bytes that arrive while no request is in flight close the connection; a response with the
 * id of another request is skipped.
 *
 * <p>The HTTP client of the library can neither send the {@code Host} header that the caller sent
 * nor tell a response from a second one that follows it, so it is not used here.
 */
final class EndpointConnection {
  /**
   * A reset of a reused connection within this time means that the peer had already dropped it; a
   * later reset was caused by the request itself.
   */
  private static final long STALE_RESET_WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private static final ResponseLimits LIMITS = ResponseLimits.withBodyOf(16 << 20);

  private final NioReactor reactor;
  private final InetSocketAddress address;
  private final HeaderNames headerNames;
  private final BufferBudget<EndpointConnection> responseBuffers;
  private final Peers peers;
  private final long number;
  private final CarriedRequestIds carriedIds = new CarriedRequestIds();
  private final Runnable onClosed;
  private Optional<TcpSocket> socket = Optional.empty();
  private Optional<Exchange> exchange = Optional.empty();
  private boolean closed;
  private boolean mustClose;
  private long lastResponseNanos = System.nanoTime();
  private OptionalLong connectNanos = OptionalLong.empty();
  private OptionalLong openedNanos = OptionalLong.empty();
  private long keepAliveMillis = Long.MAX_VALUE;
  private long idleNanos;

  /** A request in flight on this connection. */
  private static final class Exchange {
    private final OutgoingRequest request;
    private final ResponseParser parser;
    private final SettablePromise<Either<ConnectionFailure, EndpointResponse>> result =
        new SettablePromise<>();
    private final long idleNanos;
    private final long startedNanos = System.nanoTime();
    private boolean written;
    private boolean responseStarted;

    /** The body of the response, once its head was passed on. */
    private Optional<StreamedBody> body = Optional.empty();

    /** {@code idleNanos} is how long the connection was idle before, 0 for a new connection. */
    Exchange(OutgoingRequest request, long idleNanos) {
      this.request = request;
      this.parser = new ResponseParser(LIMITS, request.withoutResponseBody());
      this.idleNanos = idleNanos;
    }

    boolean metStaleConnection() {
      return idleNanos > 0
          && !responseStarted
          && System.nanoTime() - startedNanos < STALE_RESET_WINDOW_NANOS;
    }
  }

  EndpointConnection(
      NioReactor reactor,
      InetSocketAddress address,
      HeaderNames headerNames,
      BufferBudget<EndpointConnection> responseBuffers,
      Peers peers,
      long number,
      Runnable onClosed) {
    this.reactor = reactor;
    this.address = address;
    this.headerNames = headerNames;
    this.responseBuffers = responseBuffers;
    this.peers = peers;
    this.number = number;
    this.onClosed = onClosed;
  }

  /** Opens the connection and sends the first request over it. */
  Promise<Either<ConnectionFailure, EndpointResponse>> connectAndSend(
      Duration connectTimeout, OutgoingRequest request) {
    long startedNanos = System.nanoTime();
    Exchange first = begin(request, /* idleBeforeNanos= */ 0);
    TcpSocket.connect(reactor, address, connectTimeout, null)
        .whenResult(connected -> onConnected(connected, startedNanos, first))
        .whenException(e -> fail(connectFailure(e)));
    return first.result;
  }

  private ConnectionFailure connectFailure(Exception e) {
    if (openedNanos.isPresent()) {
      return ConnectionFailure.CONNECTION_LOST;
    }
    boolean timedOut = e instanceof AsyncTimeoutException;
    return timedOut ? ConnectionFailure.CONNECT_TIMED_OUT : ConnectionFailure.CONNECT_REFUSED;
  }

  private void onConnected(TcpSocket connected, long startedNanos, Exchange first) {
    if (closed) {
      connected.close();
      return;
    }
    openedNanos = OptionalLong.of(System.nanoTime());
    connectNanos = OptionalLong.of(openedNanos.getAsLong() - startedNanos);
    socket = Optional.of(connected);
    read();
    write(first);
  }

  private Exchange begin(OutgoingRequest request, long idleBeforeNanos) {
    carriedIds.record(request.id());
    Exchange begun = new Exchange(request, idleBeforeNanos);
    exchange = Optional.of(begun);
    return begun;
  }

  /** Returns whether this connection may carry a request with this id. */
  boolean mayCarry(String requestId) {
    return carriedIds.allows(requestId);
  }

  /** Sends a request, which this connection may carry, over this connection, which must be idle. */
  Promise<Either<ConnectionFailure, EndpointResponse>> send(OutgoingRequest request) {
    connectNanos = OptionalLong.empty();
    idleNanos = System.nanoTime() - lastResponseNanos;
    Exchange next = begin(request, idleNanos);
    write(next);
    return next.result;
  }

  private void write(Exchange current) {
    socket
        .orElseThrow()
        .write(ByteBuf.wrapForReading(current.request.bytes()))
        .whenResult(() -> current.written = true)
        .whenException(e -> fail(ConnectionFailure.CONNECTION_LOST));
  }

  private void read() {
    TcpSocket from = socket.orElseThrow();
    from.read()
        .whenResult(this::onRead)
        .whenException(e -> fail(ConnectionFailure.CONNECTION_LOST));
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
      MalformedResponses.recordExtra(peers, address, "", buf.readRemaining() + " bytes");
      buf.recycle();
      close();
      return;
    }
    exchange.get().responseStarted = true;
    exchange.get().parser.add(buf.array(), buf.head(), buf.readRemaining());
    buf.recycle();
    try {
      consumeResponses();
    } catch (MalformedResponseException e) {
      giveUpResponse(e.getMessage());
      return;
    }
    exchange
        .flatMap(current -> responseBuffers.resize(this, current.parser.heldBytes()))
        .ifPresent(EndpointConnection::dropResponseLater);
    readOn();
  }

  /** Reads on as soon as there is room for what arrives. */
  private void readOn() {
    if (closed) {
      return;
    }
    Optional<StreamedBody> body = exchange.flatMap(current -> current.body);
    if (body.isEmpty() || body.get().mayReceive(() -> reactor.post(this::readOn))) {
      read();
    }
  }

  /**
   * Gives up the response, as all incomplete ones together hold too much memory. Does so in a task
   * of its own, as it is mostly called while the response to another request is read.
   */
  private void dropResponseLater() {
    // Forgotten at once, so that whatever grows until then drops another one.
    responseBuffers.remove(this);
    Optional<Exchange> dropped = exchange;
    reactor.postLast(
        () -> {
          if (exchange.isPresent() && exchange.equals(dropped)) {
            giveUpResponse(
                "responses of all connections hold too much memory, and this one the most");
          }
        });
  }

  /** Closes the connection, as nothing tells what the next bytes on it would be. */
  private void giveUpResponse(String problem) {
    exchange.ifPresent(
        current -> MalformedResponses.record(peers, address, current.request.id(), problem));
    fail(ConnectionFailure.MALFORMED);
  }

  private void consumeResponses() throws MalformedResponseException {
    while (exchange.isPresent()) {
      Optional<EndpointResponse> response = exchange.get().parser.next().map(EndpointResponse::of);
      if (response.isEmpty()) {
        streamBody(exchange.get());
        return;
      }
      if (!isForOtherRequest(response.get())) {
        finish(response.get());
      }
    }
  }

  /**
   * Passes on what has arrived of a large response. It begins only with a success that is the
   * endpoint's own for this request; others are small, and are judged whole.
   */
  private void streamBody(Exchange current) {
    if (current.body.isEmpty()) {
      Optional<EndpointResponse> head =
          current.parser.incomplete().map(EndpointResponse::withoutBody);
      if (current.request.transfer().isEmpty()
          || head.isEmpty()
          || !head.get().isSuccess()
          || !new ResponseIntegrity(headerNames, current.request.id()).isIntact(head.get())) {
        return;
      }
      StreamedBody body =
          new StreamedBody(current.request.transfer().get(), current.parser.statedLength());
      current.body = Optional.of(body);
      lastResponseNanos = System.nanoTime();
      current.result.trySet(Either.right(head.get().withStream(body)));
    }
    if (!closed) {
      byte[] arrived = current.parser.takeBody();
      current.body.get().add(arrived, 0, arrived.length);
    }
  }

  /** Returns whether a response has the id of another request, as one that is written again. */
  private boolean isForOtherRequest(EndpointResponse response) {
    Optional<String> id = response.headers().find(headerNames.requestId());
    String awaitedId = exchange.orElseThrow().request.id();
    if (id.isEmpty() || id.get().equals(awaitedId)) {
      return false;
    }
    if (!mustClose) {
      mustClose = true;
      MalformedResponses.recordExtra(
          peers, address, awaitedId, response.status() + " for " + id.get());
    }
    return true;
  }

  private void finish(EndpointResponse response) {
    Exchange done = exchange.orElseThrow();
    lastResponseNanos = System.nanoTime();
    ConnectionPersistence.keepAliveMillis(response.headers())
        .ifPresent(millis -> keepAliveMillis = millis);
    boolean reusable =
        !mustClose
            && done.written
            && !done.parser.hasUnconsumedBytes()
            && !ConnectionPersistence.requestsClose(response.headers())
            && !carriedIds.isFull();
    exchange = Optional.empty();
    responseBuffers.remove(this);
    if (!reusable) {
      close();
    }
    if (done.body.isPresent()) {
      done.body.get().add(response.body(), 0, response.body().length);
      done.body.get().completeReceived();
      return;
    }
    done.result.trySet(Either.right(response));
  }

  private void onEndOfStream() {
    Optional<EndpointResponse> last =
        exchange.flatMap(current -> current.parser.atEndOfStream()).map(EndpointResponse::of);
    if (last.isPresent() && !isForOtherRequest(last.get())) {
      mustClose = true;
      finish(last.get());
      return;
    }
    fail(ConnectionFailure.CONNECTION_LOST);
  }

  private void fail(ConnectionFailure failure) {
    Optional<Exchange> failed = exchange;
    exchange = Optional.empty();
    close();
    failed.flatMap(current -> current.body).ifPresent(StreamedBody::breakOff);
    failed.ifPresent(
        current ->
            current.result.trySet(
                Either.left(
                    failure == ConnectionFailure.CONNECTION_LOST && current.metStaleConnection()
                        ? ConnectionFailure.RESET_AFTER_IDLE
                        : failure)));
  }

  /**
   * Closes the connection; the promise of a request in flight is never completed, and a body that
   * is streamed breaks off.
   */
  void close() {
    if (closed) {
      return;
    }
    closed = true;
    Optional<StreamedBody> body = exchange.flatMap(current -> current.body);
    exchange = Optional.empty();
    responseBuffers.remove(this);
    socket.ifPresent(TcpSocket::close);
    onClosed.run();
    body.ifPresent(StreamedBody::breakOff);
  }

  /** Returns the number of this connection among those of its pool. */
  long number() {
    return number;
  }

  boolean isClosed() {
    return closed;
  }

  /** Returns whether the connection is not open yet, so that nothing was sent. */
  boolean isConnecting() {
    return !closed && openedNanos.isEmpty();
  }

  /** Returns whether the connection is open and has no request in flight. */
  boolean isIdle() {
    return !closed && exchange.isEmpty();
  }

  /** Returns whether the connection was opened before {@code nanos} and is still open. */
  boolean isOpenSince(long nanos) {
    return !closed && openedNanos.isPresent() && openedNanos.getAsLong() - nanos < 0;
  }

  /** Returns when the last response arrived, or this object was created if there was none. */
  long lastResponseNanos() {
    return lastResponseNanos;
  }

  /** Returns how long the connection was idle before the last request. */
  long idleMillis() {
    return TimeUnit.NANOSECONDS.toMillis(idleNanos);
  }

  /** Returns the endpoint's {@code Keep-Alive} timeout, or {@link Long#MAX_VALUE} if unknown. */
  long keepAliveMillis() {
    return keepAliveMillis;
  }

  /** Returns how long the connect took, if the last request was the one that opened it. */
  OptionalLong connectNanos() {
    return connectNanos;
  }
}
