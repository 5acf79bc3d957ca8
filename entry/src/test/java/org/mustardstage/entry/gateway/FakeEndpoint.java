package org.mustardstage.entry.gateway;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;

/** An HTTP endpoint on a loopback socket whose responses are written by a {@link Handler}. */
final class FakeEndpoint implements AutoCloseable {
  /** Responds to a request on the socket on which it arrived. */
  interface Handler {
    void handle(ReceivedRequest request, Socket socket) throws IOException, InterruptedException;
  }

  /** A request as the endpoint received it. */
  record ReceivedRequest(String requestLine, Map<String, String> headers, String body) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  static final String HEALTH_PATH = "/health";

  private final String id;
  private final ServerSocket server;
  private final Thread acceptor;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final List<ReceivedRequest> receivedRequests = new CopyOnWriteArrayList<>();
  private volatile String healthHeaders = "";
  private volatile Handler handler = (request, socket) -> respondOk(request, socket, "done");

  FakeEndpoint(String id) throws IOException {
    this.id = id;
    this.server = new ServerSocket(0, 300, InetAddress.getLoopbackAddress());
    this.acceptor = Thread.ofVirtual().start(this::accept);
  }

  void setHandler(Handler newHandler) {
    handler = newHandler;
  }

  /** Sets lines to add to the responses to health checks, each with its end. */
  void setHealthHeaders(String lines) {
    healthHeaders = lines;
  }

  List<ReceivedRequest> receivedRequests() {
    return receivedRequests;
  }

  int openConnections() {
    return (int) sockets.stream().filter(socket -> !socket.isClosed()).count();
  }

  /** Closes all connections, as a process that ends does. New ones are accepted at once. */
  void closeConnections() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  RegisteredEndpoint registration() {
    return registration(new ServiceName("orders"), 9);
  }

  RegisteredEndpoint registration(ServiceName service, int slots) {
    return new RegisteredEndpoint(
        new EndpointId(id),
        service,
        new HostAndPort("127.0.0.1", server.getLocalPort()),
        new ZoneId("north-a"),
        slots,
        /* draining= */ false,
        0,
        1);
  }

  static void respondOk(ReceivedRequest request, Socket socket, String body) throws IOException {
    respond(request, socket, "200 OK", "X-Server-Seal: seal\r\n", body);
  }

  static void respond(
      ReceivedRequest request, Socket socket, String status, String headers, String body)
      throws IOException {
    write(
        socket,
        "HTTP/1.1 "
            + status
            + "\r\nX-Request-Id: "
            + request.header("X-Request-Id")
            + "\r\nX-Server-Load: 1,0,9\r\n"
            + headers
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Closes the endpoint. When this returns, no new connection can be opened. */
  @Override
  public void close() throws IOException {
    server.close();
    while (acceptor.isAlive()) {
      Thread.onSpinWait();
    }
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        sockets.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      }
    } catch (IOException e) {
      // Thrown when close() closes the server socket.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (!socket.isClosed()) {
        ReceivedRequest request = read(in);
        if (request.requestLine().startsWith("GET " + HEALTH_PATH + " ")) {
          respond(request, socket, "200 OK", "X-Instance-Id: " + id + "\r\n" + healthHeaders, "");
          continue;
        }
        receivedRequests.add(request);
        handler.handle(request, socket);
      }
    } catch (IOException | InterruptedException e) {
      // The peer closed the connection.
    }
  }

  private static ReceivedRequest read(InputStream in) throws IOException {
    String line = readLine(in);
    Map<String, String> headers = new TreeMap<>();
    for (String h = readLine(in); !h.isEmpty(); h = readLine(in)) {
      int colon = h.indexOf(':');
      headers.put(h.substring(0, colon).toLowerCase(Locale.ROOT), h.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    return new ReceivedRequest(
        line, headers, new String(in.readNBytes(length), StandardCharsets.UTF_8));
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    int c = in.read();
    while (c != '\n') {
      if (c < 0) {
        throw new IOException("connection ended within a line");
      }
      if (c != '\r') {
        line.append((char) c);
      }
      c = in.read();
    }
    return line.toString();
  }
}
