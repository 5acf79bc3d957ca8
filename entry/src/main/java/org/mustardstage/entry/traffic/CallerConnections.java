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
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/** The open connections of callers to one traffic thread. It closes those that are too slow. */
public final class CallerConnections {
  private final Reactor reactor;
  private final int maxHeadBytes;
  private final CallerTimeouts timeouts;
  private final AtomicInteger openInAllThreads;
  private final Set<CallerConnection> open = new LinkedHashSet<>();
  private CallerConnection lastAccepted;

  /** Creates the connections of one thread; {@code openInAllThreads} counts those of all. */
  public CallerConnections(
      Reactor reactor, TrafficSettings settings, AtomicInteger openInAllThreads) {
    this.reactor = reactor;
    this.maxHeadBytes = settings.limits().maxHeadBytes();
    this.timeouts = CallerTimeouts.of(settings);
    this.openInAllThreads = openInAllThreads;
  }

  /** Returns the inspector that sees the sockets of callers. */
  public TcpSocket.Inspector socketInspector() {
    return new SocketInspector();
  }

  /** Returns the inspector that sees the requests of callers. */
  public HttpServer.Inspector httpInspector() {
    return new HttpInspector();
  }

  /** Returns the connection that {@code request} came over. */
  public static CallerConnection of(HttpRequest request) {
    return (CallerConnection) request.getConnection().getUserData();
  }

  /** Closes the connections whose callers are too slow. */
  public void closeTimedOut() {
    long nowNanos = System.nanoTime();
    closeAll(connection -> connection.isTooSlow(nowNanos, timeouts));
  }

  /** Closes the connections that carry no request. */
  public void closeIdle() {
    closeAll(CallerConnection::isQuiet);
  }

  /** Returns whether every connection is without a request. */
  public boolean areAllIdle() {
    return open.stream().allMatch(CallerConnection::isQuiet);
  }

  private void closeAll(Predicate<CallerConnection> chosen) {
    List<CallerConnection> closing = new ArrayList<>();
    for (CallerConnection connection : open) {
      if (chosen.test(connection)) {
        closing.add(connection);
      }
    }
    closing.forEach(CallerConnection::close);
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
      open.add(lastAccepted);
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
      reactor.post(of(socket)::onLeft);
    }

    @Override
    public void onReadError(TcpSocket socket, IOException e) {
      reactor.post(of(socket)::onLeft);
    }

    @Override
    public void onDisconnect(TcpSocket socket) {
      CallerConnection connection = of(socket);
      if (open.remove(connection)) {
        openInAllThreads.decrementAndGet();
      }
      reactor.post(connection::onLeft);
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
      of(request).onAnswerBegun();
    }

    @Override
    public void onHttpResponseComplete(HttpServerConnection connection) {
      of(connection).onAnswerComplete();
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
