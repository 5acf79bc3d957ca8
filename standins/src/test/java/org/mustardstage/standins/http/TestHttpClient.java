package org.mustardstage.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.schema.JsonMessages;

/** HTTP client that sends requests to one server. */
public final class TestHttpClient {
  private static final long TIMEOUT_SECONDS = 20;

  private final HttpClient client = HttpClient.newHttpClient();
  private final HostAndPort server;

  public TestHttpClient(HostAndPort server) {
    this.server = server;
  }

  public static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
    }
  }

  public static HostAndPort hostAndPort(InetSocketAddress address) {
    return new HostAndPort(address.getAddress().getHostAddress(), address.getPort());
  }

  public HttpResponse<byte[]> send(String method, String path, String body, String... headers) {
    return sendAsync(method, path, body, headers)
        .orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .join();
  }

  public CompletableFuture<HttpResponse<byte[]>> sendAsync(
      String method, String path, String body, String... headers) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + server + path))
            .method(method, BodyPublishers.ofString(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    return client.sendAsync(request.build(), BodyHandlers.ofByteArray());
  }

  public JsonNode sendForJson(String method, String path, String body) {
    return JsonMessages.readTree(send(method, path, body).body()).get();
  }
}
