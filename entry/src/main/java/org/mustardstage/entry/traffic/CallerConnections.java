package org.mustardstage.entry.traffic;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.inspector.AbstractInspector;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.HttpServerConnection;
import io.activej.http.MalformedHttpException;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.Reactor;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/** Tracks the open caller connections of one traffic thread and closes those that time out. */
public final class CallerConnections {
  /** Bounds how often all connections are searched while callers keep opening new ones. */
  private static final int CLOSED_AT_ONCE_DIVISOR = 32;

  private final Reactor reactor;
  private final int maxHeadBytes;
  private CallerTimeouts timeouts;
  private int maxConnections = Integer.MAX_VALUE;
  private final AtomicInteger openInAllThreads;
  private final Set<CallerConnection> openConnections = new LinkedHashSet<>();
  private CallerConnection lastAccepted;

  /** Creates the tracker of one thread; {@code openInAllThreads} counts those of all threads. */
  public CallerConnections(
      Reactor reactor, TrafficSettings settings, AtomicInteger openInAllThreads) {
    this.reactor = reactor;
    this.maxHeadBytes = settings.limits().maxHeadBytes();
    this.timeouts = CallerTimeouts.of(settings);
    this.openInAllThreads = openInAllThreads;
  }

  /** Returns the inspector that tracks reads, writes and disconnects of caller sockets. */
  public TcpSocket.Inspector socketInspector() {
    return new SocketInspector();
  }

  /** Returns the inspector that tracks the phases of callers' requests. */
  public HttpServer.Inspector httpInspector() {
    return new HttpInspector();
  }

  /** Returns the connection on which {@code request} arrived. */
  public static CallerConnection of(HttpRequest request) {
    return (CallerConnection) request.getConnection().getUserData();
  }

  /** Closes the connections whose callers exceeded a timeout. */
  public void closeTimedOut() {
    long nowNanos = System.nanoTime();
    closeMatching(connection -> connection.hasTimedOut(nowNanos, timeouts));
  }

  /**
   * Replaces the timeouts of open and new connections.
   *
   * @param headerMillis how long a caller may take to send a request head
   * @param idleMillis how long a connection may be idle before a request
   */
  public void setTimeouts(long headerMillis, long idleMillis) {
    timeouts =
        new CallerTimeouts(
            TimeUnit.MILLISECONDS.toNanos(idleMillis),
            TimeUnit.MILLISECONDS.toNanos(headerMillis),
            timeouts.progressTimeoutNanos(),
            TimeUnit.MILLISECONDS.toNanos(idleMillis));
  }

  /**
   * Sets how many connections are kept open. Beyond that number, those that have been idle for
   * longest are closed, so that descriptors remain for other peers and for new callers.
   */
  public void setMaxConnections(int newMaxConnections) {
    maxConnections = newMaxConnections;
  }

  /** Closes the connections that have been idle for longest, several at once. */
  private void closeLongestIdle() {
    openConnections.stream()
        .filter(CallerConnection::isIdle)
        .sorted(CallerConnection.BY_PHASE_START)
        .limit(1 + maxConnections / CLOSED_AT_ONCE_DIVISOR)
        .toList()
        .forEach(CallerConnection::close);
  }

  /** Closes the connections without a request. */
  public void closeIdle() {
    closeMatching(CallerConnection::isIdle);
  }

  /** Returns whether no connection has a request. */
  public boolean areAllIdle() {
    return openConnections.stream().allMatch(CallerConnection::isIdle);
  }

  private void closeMatching(Predicate<CallerConnection> matches) {
    List<CallerConnection> matching = new ArrayList<>();
    for (CallerConnection connection : openConnections) {
      if (matches.test(connection)) {
        matching.add(connection);
      }
    }
    matching.forEach(CallerConnection::close);
  }

  private static CallerConnection of(TcpSocket socket) {
    return (CallerConnection) socket.getUserData();
  }

  private static CallerConnection of(HttpServerConnection connection) {
    return (CallerConnection) connection.getUserData();
  }

  private final class SocketInspector extends AbstractInspector<TcpSocket.Inspector>
      implements TcpSocket.Inspector {
    @Override
    public void onConnect(TcpSocket socket) {
      lastAccepted = new CallerConnection(socket);
      socket.setUserData(lastAccepted);
      if (openConnections.size() >= maxConnections) {
        closeLongestIdle();
      }
      openConnections.add(lastAccepted);
      openInAllThreads.incrementAndGet();
    }

    @Override
    public void onRead(TcpSocket socket, ByteBuf buf) {
      if (of(socket).onRead(buf.readRemaining(), maxHeadBytes)) {
        reactor.post(socket::close);
      }
    }

    @Override
    public void onWrite(TcpSocket socket, ByteBuf buf, int bytes) {
      of(socket).onWrite();
    }

    @Override
    public void onReadEndOfStream(TcpSocket socket) {
      reactor.post(of(socket)::onDisconnect);
    }

    @Override
    public void onReadError(TcpSocket socket, IOException e) {
      reactor.post(of(socket)::onDisconnect);
    }

    @Override
    public void onDisconnect(TcpSocket socket) {
      CallerConnection connection = of(socket);
      if (openConnections.remove(connection)) {
        openInAllThreads.decrementAndGet();
      }
      reactor.post(connection::onDisconnect);
    }

    @Override
    public void onReadTimeout(TcpSocket socket) {}

    @Override
    public void onWriteTimeout(TcpSocket socket) {}

    @Override
    public void onWriteError(TcpSocket socket, IOException e) {}
  }

  private final class HttpInspector extends AbstractInspector<HttpServer.Inspector>
      implements HttpServer.Inspector {
    @Override
    public void onAccept(HttpServerConnection connection) {
      connection.setUserData(lastAccepted);
    }

    @Override
    public void onHttpRequest(HttpRequest request) {
      of(request).onHeadComplete();
    }

    @Override
    public void onHttpResponse(HttpRequest request, HttpResponse httpResponse) {
      of(request).onResponseStarted();
    }

    @Override
    public void onHttpResponseComplete(HttpServerConnection connection) {
      of(connection).onResponseComplete();
    }

    @Override
    public void onServletException(HttpRequest request, Exception e) {}

    @Override
    public void onHttpError(HttpServerConnection connection, Exception e) {}

    @Override
    public void onMalformedHttpRequest(
        HttpServerConnection connection, MalformedHttpException e, byte[] malformedBytes) {
      of(connection).closeAfterResponse();
    }

    @Override
    public void onDisconnect(HttpServerConnection connection) {}
  }
}
