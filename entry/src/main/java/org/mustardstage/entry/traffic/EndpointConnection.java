package org.mustardstage.entry.traffic;

import com.google.common.base.Strings;
import io.activej.bytebuf.ByteBuf;
import io.activej.common.inspector.AbstractInspector;
import io.activej.dns.protocol.DnsResponse;
import io.activej.http.HttpClient;
import io.activej.http.HttpClientConnection;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.MalformedHttpException;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.mustardstage.core.http.ResponseLimits;
import org.mustardstage.entry.http.MalformedResponses.Peers;
import org.mustardstage.entry.http.ResponseCheck;

/**
 * One connection to an endpoint, which carries one request at a time. A connection whose request
 * was cancelled is closed and never reused, so a late response can't be mistaken for the response
 * to another request.
 */
final class EndpointConnection {
  // The pool limits the idle time. This only keeps the HTTP client from closing connections itself.
  private static final Duration CLIENT_KEEP_ALIVE = Duration.ofHours(1);

  /** Bodies of any size are streamed. */
  private static final ResponseLimits LIMITS = ResponseLimits.withBodyOf(Long.MAX_VALUE);

  private final NioReactor reactor;
  private final HttpClient client;
  private final Runnable onStateChange;
  private final long createdNanos = System.nanoTime();
  private final ResponseCheck responseCheck;
  private BooleanSupplier maySend = () -> false;
  private @Nullable TcpSocket socket;
  private int requestsSent;
  private boolean closesAfterResponse;
  private boolean closed;
  private boolean bytesSent;
  private boolean connected;
  private boolean closedByPeer;
  private long lastReadNanos = createdNanos;

  /**
   * Creates a connection that is opened when its first request is sent.
   *
   * @param peers what the address belongs to
   * @param onStateChange runs when a response was read whole, so that the connection can be reused,
   *     and when the connection was closed
   */
  EndpointConnection(
      NioReactor reactor,
      InetSocketAddress address,
      Peers peers,
      long connectTimeoutMillis,
      Runnable onStateChange) {
    this.reactor = reactor;
    this.responseCheck = new ResponseCheck(peers, LIMITS);
    this.onStateChange = onStateChange;
    SocketInspector socketInspector = new SocketInspector();
    client =
        HttpClient.builder(reactor, new FixedAddressDnsClient(address.getAddress()))
            .withKeepAliveTimeout(CLIENT_KEEP_ALIVE)
            .withConnectTimeout(Duration.ofMillis(connectTimeoutMillis))
            .withSocketInspector(socketInspector)
            .withSocketSslInspector(socketInspector)
            .withInspector(new ClientInspector())
            .build();
  }

  /**
   * Sends a request.
   *
   * @param maySend called right before the first byte is sent; if it returns false, nothing is sent
   *     and the connection is closed
   */
  Promise<HttpResponse> send(HttpRequest request, BooleanSupplier maySend) {
    this.maySend = maySend;
    requestsSent++;
    bytesSent = false;
    responseCheck.beginRequest(
        Strings.nullToEmpty(request.getHeader(Headers.REQUEST_ID)),
        request.getMethod() == HttpMethod.HEAD);
    connected = isOpen();
    if (connected && !maySend.getAsBoolean()) {
      close();
    }
    return client.request(request);
  }

  /** Closes the connection and abandons the request on it. */
  void close() {
    closed = true;
    if (socket != null) {
      socket.close();
    }
  }

  private void onResponseRead() {
    if (closesAfterResponse) {
      close();
    }
    onStateChange.run();
  }

  /** Returns whether the connection was established and is not closed. */
  boolean isOpen() {
    return !closed && socket != null && !socket.isClosed();
  }

  /** Closes the connection once the response to the present request was read whole. */
  void closeAfterResponse() {
    closesAfterResponse = true;
  }

  /** Returns whether the last request is the first on the connection. */
  boolean carriesFirstRequest() {
    return requestsSent == 1;
  }

  /** Returns whether the connection is open, carries no request and may carry another one. */
  boolean isIdle() {
    return isOpen() && !closesAfterResponse && client.getConnectionsKeepAliveCount() == 1;
  }

  /** Returns whether the connection was established before or for the last request. */
  boolean wasConnected() {
    return connected;
  }

  /** Returns whether any byte of the last request was sent. */
  boolean hasSentBytes() {
    return bytesSent;
  }

  /** Returns whether the endpoint closed or reset the connection. */
  boolean wasClosedByPeer() {
    return closedByPeer;
  }

  /** Returns when data was last read, or if none was, when the connection was created. */
  long lastReadNanos() {
    return lastReadNanos;
  }

  /** Returns when the connection was created. */
  long createdNanos() {
    return createdNanos;
  }

  private final class SocketInspector extends AbstractInspector<TcpSocket.Inspector>
      implements TcpSocket.Inspector {
    @Override
    public void onConnect(TcpSocket newSocket) {
      socket = newSocket;
      connected = true;
      if (closed || !maySend.getAsBoolean()) {
        closed = true;
        newSocket.close();
      }
    }

    @Override
    public void onWrite(TcpSocket socket, ByteBuf buf, int bytes) {
      bytesSent |= bytes > 0;
    }

    @Override
    public void onRead(TcpSocket socket, ByteBuf buf) {
      lastReadNanos = System.nanoTime();
      responseCheck.onRead(socket, buf);
      closesAfterResponse |= responseCheck.hasExtraBytes();
    }

    @Override
    public void onReadTimeout(TcpSocket socket) {}

    @Override
    public void onReadEndOfStream(TcpSocket socket) {
      closedByPeer = true;
    }

    @Override
    public void onReadError(TcpSocket socket, IOException e) {
      closedByPeer = true;
    }

    @Override
    public void onWriteTimeout(TcpSocket socket) {}

    @Override
    public void onWriteError(TcpSocket socket, IOException e) {}

    @Override
    public void onDisconnect(TcpSocket socket) {
      closed = true;
      reactor.post(onStateChange);
    }
  }

  private final class ClientInspector extends AbstractInspector<HttpClient.Inspector>
      implements HttpClient.Inspector {
    @Override
    public void onRequestComplete(HttpResponse response, HttpClientConnection connection) {
      reactor.post(EndpointConnection.this::onResponseRead);
    }

    @Override
    public void onConnectError(HttpRequest request, InetSocketAddress address, Exception e) {
      closed = true;
      reactor.post(onStateChange);
    }

    @Override
    public void onRequest(HttpRequest request) {}

    @Override
    public void onResolve(HttpRequest request, DnsResponse dnsResponse) {}

    @Override
    public void onResolveError(HttpRequest request, Exception e) {}

    @Override
    public void onConnecting(HttpRequest request, InetSocketAddress address) {}

    @Override
    public void onConnect(HttpRequest request, HttpClientConnection connection) {}

    @Override
    public void onHttpResponse(HttpResponse response) {}

    @Override
    public void onHttpError(HttpClientConnection connection, Exception e) {}

    @Override
    public void onMalformedHttpResponse(
        HttpClientConnection connection, MalformedHttpException e, byte[] malformedBytes) {}

    @Override
    public void onDisconnect(HttpClientConnection connection) {}
  }
}
