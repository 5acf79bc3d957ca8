package org.mustardstage.standins.load;

import io.activej.common.inspector.AbstractInspector;
import io.activej.dns.protocol.DnsResponse;
import io.activej.http.HttpClient;
import io.activej.http.HttpClientConnection;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.MalformedHttpException;
import java.net.InetSocketAddress;

/** Marks requests that were never sent because the connection could not be opened. */
final class ConnectFailureInspector extends AbstractInspector<HttpClient.Inspector>
    implements HttpClient.Inspector {
  private static final String ATTACHMENT_KEY = "connect-failed";

  /** Returns whether the connection for {@code request} could not be opened. */
  static boolean hasConnectFailed(HttpRequest request) {
    return request.getAttachment(ATTACHMENT_KEY) != null;
  }

  @Override
  public void onConnectError(HttpRequest request, InetSocketAddress address, Exception e) {
    request.attach(ATTACHMENT_KEY, Boolean.TRUE);
  }

  @Override
  public void onRequest(HttpRequest request) {}

  @Override
  public void onRequestComplete(HttpResponse response, HttpClientConnection connection) {}

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
      HttpClientConnection connection, MalformedHttpException e, byte[] malformedResponseBytes) {}

  @Override
  public void onDisconnect(HttpClientConnection connection) {}
}
