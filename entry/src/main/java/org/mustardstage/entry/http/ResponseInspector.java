package org.mustardstage.entry.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.inspector.AbstractInspector;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.Reactor;
import java.io.IOException;
import org.mustardstage.core.http.ResponseLimits;

/**
 * Applies a {@link ResponseCheck} to each connection of an HTTP client that sends no HEAD requests.
 * A connection on which bytes follow a response is closed, as they would be taken for the next one.
 */
public final class ResponseInspector extends AbstractInspector<TcpSocket.Inspector>
    implements TcpSocket.Inspector {
  private final Reactor reactor;
  private final ResponseLimits limits;

  /** Creates an inspector of a client that runs on {@code reactor}. */
  public ResponseInspector(Reactor reactor, ResponseLimits limits) {
    this.reactor = reactor;
    this.limits = limits;
  }

  private static ResponseCheck checkOf(TcpSocket socket) {
    return (ResponseCheck) socket.getUserData();
  }

  @Override
  public void onConnect(TcpSocket socket) {
    socket.setUserData(new ResponseCheck(limits));
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
