package org.mustardstage.entry.traffic;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.HostAndPort;

/** An endpoint on a loopback socket that responds as its script says. */
final class FakeEndpoint implements AutoCloseable {
  private static final int SLOTS = 9;
  private static final int CONNECTIONS = 700;

  /** Responds to a request that was read whole. */
  interface Script {
    void respond(ReceivedRequest request, ResponseWriter response)
        throws IOException, InterruptedException;
  }

  /** A request as the endpoint received it. */
  record ReceivedRequest(
      String requestLine, Map<String, String> headers, String body, int connectionNumber) {
    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }
  }

  private final String name;
  private final ServerSocket server;
  private final Thread acceptor;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final List<ReceivedRequest> received = new CopyOnWriteArrayList<>();
  private final List<String> cancels = new CopyOnWriteArrayList<>();
  private volatile Script script = (request, response) -> response.respondOk("done");
  private volatile Script cancelScript = respondWithState("cancelled");
  private volatile int silentUpToConnection = -1;
  private final AtomicInteger probes = new AtomicInteger();
  private final AtomicInteger connectionCount = new AtomicInteger();

  FakeEndpoint(String name) throws IOException {
    this.name = name;
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    acceptor = Thread.ofVirtual().start(this::accept);
  }

  void setScript(Script newScript) {
    script = newScript;
  }

  void setCancelState(String state) {
    cancelScript = respondWithState(state);
  }

  /** Sets how cancels are responded to. */
  void setCancelScript(Script newScript) {
    cancelScript = newScript;
  }

  /** Makes all connections accepted so far read requests and never respond. */
  void silenceOpenConnections() {
    silentUpToConnection = connectionCount.get();
  }

  List<ReceivedRequest> received() {
    return received;
  }

  List<String> cancels() {
    return cancels;
  }

  int probes() {
    return probes.get();
  }

  Endpoint endpoint() {
    return new Endpoint(
        new EndpointId(name),
        new ZoneId("zone-a"),
        new HostAndPort("127.0.0.1", server.getLocalPort()),
        SLOTS,
        CONNECTIONS);
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
        int connectionNumber = connectionCount.incrementAndGet();
        Thread.ofVirtual().start(() -> serve(socket, connectionNumber));
      }
    } catch (IOException e) {
      // The endpoint was closed.
    }
  }

  private void serve(Socket socket, int connectionNumber) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      ResponseWriter response = new ResponseWriter(socket);
      while (!socket.isClosed()) {
        ReceivedRequest request = read(in, connectionNumber);
        if (connectionNumber > silentUpToConnection) {
          dispatch(request, response);
        }
      }
    } catch (IOException | InterruptedException e) {
      // The entry VM closed the connection.
    }
  }

  private void dispatch(ReceivedRequest request, ResponseWriter response)
      throws IOException, InterruptedException {
    if (request.requestLine().startsWith("POST /-/cancel")) {
      cancels.add(request.requestLine());
      cancelScript.respond(request, response);
      return;
    }
    if (request.requestLine().startsWith("GET /-/load")) {
      response.respondOk("{\"slotsInUse\":0}");
      probes.incrementAndGet();
      return;
    }
    received.add(request);
    response.echo(request);
    script.respond(request, response);
  }

  private static Script respondWithState(String state) {
    return (request, response) -> response.respondOk("{\"state\":\"" + state + "\"}");
  }

  private static ReceivedRequest read(InputStream in, int connectionNumber) throws IOException {
    String line = readLine(in);
    Map<String, String> headers = new TreeMap<>();
    for (String headerLine = readLine(in); !headerLine.isEmpty(); headerLine = readLine(in)) {
      int colon = headerLine.indexOf(':');
      headers.put(
          headerLine.substring(0, colon).toLowerCase(Locale.ROOT),
          headerLine.substring(colon + 1).trim());
    }
    return new ReceivedRequest(line, headers, readBody(in, headers), connectionNumber);
  }

  private static String readBody(InputStream in, Map<String, String> headers) throws IOException {
    if (!headers.containsKey("transfer-encoding")) {
      int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
      return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    int length;
    do {
      length = Integer.parseInt(readLine(in), 16);
      body.write(in.readNBytes(length));
      readLine(in);
    } while (length > 0);
    return body.toString(StandardCharsets.UTF_8);
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new IOException("connection closed before the end of a line");
      }
      if (b != '\r') {
        line.write(b);
      }
    }
    return line.toString(StandardCharsets.UTF_8);
  }

  /** Writes responses to one connection. */
  static final class ResponseWriter {
    private static final String ID = "Mustardstage-Request-Id";

    private final Socket socket;
    private String idLine = "";

    ResponseWriter(Socket socket) {
      this.socket = socket;
    }

    /** Sets the request whose id {@link #respondOk} and {@link #reject} repeat. */
    void echo(ReceivedRequest request) {
      idLine =
          Optional.ofNullable(request.header(ID)).map(id -> ID + ": " + id + "\r\n").orElse("");
    }

    void respondOk(String body) throws IOException {
      sendRaw(
          "HTTP/1.1 200 OK\r\n" + idLine + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    void reject(String reason) throws IOException {
      sendRaw(
          "HTTP/1.1 503 Refused\r\nMustardstage-Refused: "
              + reason
              + "\r\n"
              + idLine
              + "Content-Length: 0\r\n\r\n");
    }

    void sendRaw(String text) throws IOException {
      OutputStream out = socket.getOutputStream();
      out.write(text.getBytes(StandardCharsets.UTF_8));
      out.flush();
    }

    void closeConnection() throws IOException {
      socket.close();
    }
  }
}
