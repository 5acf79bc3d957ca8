package org.mustardstage.cli;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** An operator API that sends canned responses and records request bodies. */
final class FakeOperatorApi implements AutoCloseable {
  private final HttpServer server;
  private final Map<String, CannedResponse> responses = new HashMap<>();
  final List<String> bodies = Collections.synchronizedList(new ArrayList<>());

  FakeOperatorApi() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext("/", this::handle);
    server.start();
  }

  FakeOperatorApi respondWith(String path, int status, String body) {
    responses.put(path, new CannedResponse(status, body));
    return this;
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  @Override
  public void close() {
    server.stop(0);
  }

  private void handle(HttpExchange exchange) throws IOException {
    bodies.add(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
    CannedResponse response = responses.get(exchange.getRequestURI().getPath());
    byte[] body = response.body().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().add("Mustardstage-Version", "4");
    exchange.sendResponseHeaders(response.status(), body.length == 0 ? -1 : body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  private record CannedResponse(int status, String body) {}
}
