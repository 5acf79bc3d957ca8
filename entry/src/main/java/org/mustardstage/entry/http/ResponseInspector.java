package org.mustardstage.entry.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.inspector.AbstractInspector;
import io.activej.http.HttpClient;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.Reactor;
import java.io.IOException;
import org.mustardstage.core.http.ResponseLimits;
import org.mustardstage.entry.http.MalformedResponses.Peers;

/**
 * Applies a {@link ResponseCheck} to each connection of an HTTP client that sends no HEAD requests.
 * A connection on which bytes follow a response is closed, as they would be taken for the next one.
 */
public final class ResponseInspector extends AbstractInspector<TcpSocket.Inspector>
    implements TcpSocket.Inspector {
  private final Reactor reactor;
  private final Peers peers;
  private final ResponseLimits limits;

  private ResponseInspector(Reactor reactor, Peers peers, ResponseLimits limits) {
    this.reactor = reactor;
    this.peers = peers;
    this.limits = limits;
  }

  /**
   * Adds the inspector to a client. The library inspects plain connections by what is set for those
   * with TLS, so both are set.
   */
  public static HttpClient.Builder addTo(
      HttpClient.Builder client, Reactor reactor, Peers peers, ResponseLimits limits) {
    ResponseInspector inspector = new ResponseInspector(reactor, peers, limits);
    return client.withSocketInspector(inspector).withSocketSslInspector(inspector);
  }

  private static ResponseCheck checkOf(TcpSocket socket) {
    return (ResponseCheck) socket.getUserData();
  }

  @Override
  public void onConnect(TcpSocket socket) {
    socket.setUserData(new ResponseCheck(peers, limits));
  }

  @Override
  public void onWrite(TcpSocket socket, ByteBuf buf, int bytes) {
    ResponseCheck check = checkOf(socket);
    if (!check.isInFlight()) {
      check.beginRequest(/* newRequestId= */ "", /* withoutBody= */ false);
    }
  }

  @Override
  public void onRead(TcpSocket socket, ByteBuf buf) {
    ResponseCheck check = checkOf(socket);
    check.onRead(socket, buf);
    if (check.hasExtraBytes()) {
      reactor.post(socket::close);
    }
  }

  @Override
  public void onReadTimeout(TcpSocket socket) {}

  @Override
  public void onReadEndOfStream(TcpSocket socket) {}

  @Override
  public void onReadError(TcpSocket socket, IOException e) {}

  @Override
  public void onWriteTimeout(TcpSocket socket) {}

  @Override
  public void onWriteError(TcpSocket socket, IOException e) {}

  @Override
  public void onDisconnect(TcpSocket socket) {}
}
