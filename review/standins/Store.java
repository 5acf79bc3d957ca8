import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's metadata store on a loopback address: tables of rows and their changes. */
final class Store implements AutoCloseable {
  private record Row(long version, String base64) {}

  private static final Pattern UPSERT =
      Pattern.compile(
          "\\{\"table\":\"([^\"]*)\",\"part\":\"([^\"]*)\",\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\"\\}");
  private static final long HISTORY_START = 0;

  private final ServerSocket server;
  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private long version;

  Store(String host) throws IOException {
    server = new ServerSocket(0, 200, InetAddress.getByName(host));
    Thread.ofVirtual().start(this::acceptAll);
  }

  String address() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  synchronized long put(String table, String key, String value) {
    return putBase64(
        table, key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
  }

  private long putBase64(String table, String key, String base64) {
    version++;
    tables.computeIfAbsent(table, t -> new TreeMap<>()).put(key, new Row(version, base64));
    notifyAll();
    return version;
  }

  synchronized void remove(String table, String key) {
    version++;
    tables.computeIfAbsent(table, t -> new TreeMap<>()).put(key, new Row(version, null));
    notifyAll();
  }

  private void acceptAll() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (true) {
        Http.Message request = Http.readRequest(in);
        if (request == null) {
          return;
        }
        String body = handle(request);
        int status = body == null ? 404 : 200;
        byte[] bytes = (body == null ? "{}" : body).getBytes(StandardCharsets.UTF_8);
        String head =
            "HTTP/1.1 " + status + " OK\r\nContent-Type: application/json\r\nContent-Length: "
                + bytes.length + "\r\n\r\n";
        synchronized (out) {
          out.write(head.getBytes(StandardCharsets.ISO_8859_1));
          out.write(bytes);
          out.flush();
        }
      }
    } catch (IOException e) {
      // The caller has left.
    }
  }

  private String handle(Http.Message request) {
    Map<String, String> query = Http.query(request.target());
    String path = request.target().split("\\?", 2)[0];
    return switch (path) {
      case "/v1/rows-get" -> rows(query.get("table"), HISTORY_START, false);
      case "/v1/rows-feed" ->
          awaitRows(
              query.get("table"),
              Long.parseLong(query.get("after")),
              Long.parseLong(query.getOrDefault("wait_ms", "0")));
      case "/v1/rows-parts" -> "{\"parts\":[\"\"],\"has_more\":false}";
      case "/v1/rows-tx" -> write(new String(request.body(), StandardCharsets.UTF_8));
      default -> null;
    };
  }

  private synchronized String rows(String table, long after, boolean tombstones) {
    StringBuilder rows = new StringBuilder();
    tables
        .getOrDefault(table, new TreeMap<>())
        .forEach(
            (key, row) -> {
              if (row.version() <= after || (row.base64() == null && !tombstones)) {
                return;
              }
              rows.append(rows.isEmpty() ? "" : ",")
                  .append("{\"table\":\"").append(table).append("\",\"part\":\"\",\"key\":\"")
                  .append(key).append("\",\"ver\":").append(row.version());
              rows.append(
                  row.base64() == null
                      ? ",\"tombstone\":true}"
                      : ",\"value\":\"" + row.base64() + "\"}");
            });
    return "{\"ver\":" + version + ",\"now_s\":" + System.nanoTime() / 1e9
        + ",\"has_more\":false,\"rows\":[" + rows + "]}";
  }

  private synchronized String awaitRows(String table, long after, long waitMillis) {
    long deadline = System.nanoTime() + waitMillis * 1_000_000;
    while (true) {
      String rows = rows(table, after, true);
      long left = deadline - System.nanoTime();
      if (!rows.endsWith("[]}") || left <= 0) {
        return rows;
      }
      try {
        wait(Math.max(1, left / 1_000_000));
      } catch (InterruptedException e) {
        return rows;
      }
    }
  }

  private synchronized String write(String transaction) {
    Matcher upserts = UPSERT.matcher(transaction);
    while (upserts.find()) {
      putBase64(upserts.group(1), upserts.group(3), upserts.group(4));
    }
    return "{\"ver\":" + version + "}";
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
