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
final class EndpointLink {
  /** A reset that comes later than this after a request was sent is about the request itself. */
  private static final long FORGOTTEN_WITHIN_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final NioReactor reactor;
  private final InetSocketAddress address;
  private final HeaderNames dialect;
  private final Runnable onClosed;
  private Optional<TcpSocket> socket = Optional.empty();
  private Optional<Exchange> exchange = Optional.empty();
  private ReplyParser parser = new ReplyParser(false);
  private boolean closed;
  private boolean spoiled;
  private long lastAnswerNanos = System.nanoTime();
  private OptionalLong connectNanos = OptionalLong.empty();
  private long keptMillis = Long.MAX_VALUE;
  private long restedNanos;

  /** A request that is being carried. */
  private static final class Exchange {
    private final String requestId;
    private final SettablePromise<Either<LinkFailure, EndpointReply>> end = new SettablePromise<>();
    private final long restedNanos;
    private final long startedNanos = System.nanoTime();
    private boolean written;
    private boolean answerBegun;

    /** {@code restedNanos} is how long the link carried nothing before, 0 for a new one. */
    Exchange(String requestId, long restedNanos) {
      this.requestId = requestId;
      this.restedNanos = restedNanos;
    }

    boolean metForgottenLink() {
      return restedNanos > 0
          && !answerBegun
          && System.nanoTime() - startedNanos < FORGOTTEN_WITHIN_NANOS;
    }
  }

  EndpointLink(
      NioReactor reactor, InetSocketAddress address, HeaderNames dialect, Runnable onClosed) {
    this.reactor = reactor;
    this.address = address;
    this.dialect = dialect;
    this.onClosed = onClosed;
  }

  /** Connects and sends the first request. */
  Promise<Either<LinkFailure, EndpointReply>> connectAndSend(
      Duration connectTimeout, String requestId, boolean withoutBody, byte[] request) {
    long startedNanos = System.nanoTime();
    Exchange first = new Exchange(requestId, /* restedNanos= */ 0);
    exchange = Optional.of(first);
    TcpSocket.connect(reactor, address, connectTimeout, null)
        .whenResult(made -> onConnected(made, startedNanos, first, withoutBody, request))
        .whenException(e -> fail(LinkFailure.NOT_CONNECTED));
    return first.end;
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
  Promise<Either<LinkFailure, EndpointReply>> send(
      String requestId, boolean withoutBody, byte[] request) {
    connectNanos = OptionalLong.empty();
    restedNanos = System.nanoTime() - lastAnswerNanos;
    Exchange next = new Exchange(requestId, restedNanos);
    exchange = Optional.of(next);
    write(next, withoutBody, request);
    return next.end;
  }

  private void write(Exchange current, boolean withoutBody, byte[] request) {
    parser = new ReplyParser(withoutBody);
    socket
        .orElseThrow()
        .write(ByteBuf.wrapForReading(request))
        .whenResult(() -> current.written = true)
        .whenException(e -> fail(LinkFailure.BROKEN));
  }

  private void read() {
    TcpSocket from = socket.orElseThrow();
    from.read().whenResult(this::onRead).whenException(e -> fail(LinkFailure.BROKEN));
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
    exchange.get().answerBegun = true;
    parser.add(buf.array(), buf.head(), buf.readRemaining());
    buf.recycle();
    try {
      takeReplies();
    } catch (ReplyParser.MalformedReplyException e) {
      fail(LinkFailure.MALFORMED);
      return;
    }
    if (!closed) {
      read();
    }
  }

  private void takeReplies() throws ReplyParser.MalformedReplyException {
    while (exchange.isPresent()) {
      Optional<EndpointReply> reply = parser.next();
      if (reply.isEmpty()) {
        return;
      }
      if (belongsToAnother(reply.get())) {
        spoiled = true;
        continue;
      }
      finish(reply.get());
    }
  }

  private boolean belongsToAnother(EndpointReply reply) {
    Optional<String> id = reply.headers().find(dialect.requestId());
    return id.isPresent() && !id.get().equals(exchange.orElseThrow().requestId);
  }

  private void finish(EndpointReply reply) {
    Exchange done = exchange.orElseThrow();
    lastAnswerNanos = System.nanoTime();
    noteKeepAlive(reply);
    boolean mayBeUsedAgain =
        !spoiled && done.written && !parser.hasLeftovers() && !asksToClose(reply);
    exchange = Optional.empty();
    if (!mayBeUsedAgain) {
      close();
    }
    done.end.trySet(Either.right(reply));
  }

  private static boolean asksToClose(EndpointReply reply) {
    return reply.headers().all("Connection").stream()
        .anyMatch(value -> value.toLowerCase(Locale.ROOT).contains("close"));
  }

  private void noteKeepAlive(EndpointReply reply) {
    reply
        .headers()
        .find("Keep-Alive")
        .flatMap(EndpointLink::parseTimeoutMillis)
        .ifPresent(millis -> keptMillis = millis);
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
    Optional<EndpointReply> last = exchange.isPresent() ? parser.atEndOfStream() : Optional.empty();
    if (last.isPresent() && !belongsToAnother(last.get())) {
      spoiled = true;
      finish(last.get());
      return;
    }
    fail(LinkFailure.BROKEN);
  }

  private void fail(LinkFailure failure) {
    Optional<Exchange> failed = exchange;
    exchange = Optional.empty();
    close();
    failed.ifPresent(
        each ->
            each.end.trySet(
                Either.left(
                    failure == LinkFailure.BROKEN && each.metForgottenLink()
                        ? LinkFailure.FORGOTTEN
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
  long lastAnswerNanos() {
    return lastAnswerNanos;
  }

  /** Returns how long the link had rested before the last request. */
  long restedMillis() {
    return TimeUnit.NANOSECONDS.toMillis(restedNanos);
  }

  /** Returns how long the endpoint said it keeps an idle connection. */
  long keptMillis() {
    return keptMillis;
  }

  /** Returns how long connecting took, if it was done for the last request. */
  OptionalLong connectNanos() {
    return connectNanos;
  }
}
