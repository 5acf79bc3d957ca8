package org.mustardstage.review2;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store as the page PROTOCOL describes it: rows in tables, transactions, reads and
 * the feed of changes. Each entry VM reaches it on a port of its own, so that a case can tell the
 * connections of VMs apart. A connection that a case marks as silent delivers nothing any more and
 * stays open, as one whose packets are lost on the way; new connections work.
 */
final class Store {
  private static final int MAX_ROWS = 500;

  private final long startNanos = System.nanoTime();
  private final Map<String, TreeMap<String, Row>> tables = new TreeMap<>();
  private final List<ServerSocket> servers = new ArrayList<>();
  private long version = 100;

  /** A row; a value of null is a tombstone. */
  private record Row(String table, String part, String key, String value, long version) {}

  /** One connection of a VM, and the call on it that was begun or answered last. */
  static final class Connection {
    final String vm;
    volatile boolean silent;
    volatile Call call;

    Connection(String vm) {
      this.vm = vm;
    }
  }

  /** A call; {@code answeredNanos} is 0 until the answer was written. */
  static final class Call {
    final Connection connection;
    final String path;
    final Map<String, String> query;
    final long begunNanos = System.nanoTime();
    volatile long answeredNanos;

    Call(Connection connection, Http.Message request) {
      this.connection = connection;
      this.path = request.path();
      this.query = request.query();
    }

    boolean isFeedOf(String table) {
      return path.equals("/v1/rows-feed") && table.equals(query.get("table"));
    }

    long waitMillis() {
      return Long.parseLong(query.getOrDefault("wait_ms", "0"));
    }
  }

  private final List<Call> calls = new ArrayList<>();

  /** Opens the port of one VM and returns its address. */
  String open(String vm) throws IOException {
    ServerSocket server = Http.listen((socket, in) -> serve(vm, socket, in));
    servers.add(server);
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Returns the calls of all VMs so far, the latest last. */
  List<Call> calls() {
    synchronized (calls) {
      return new ArrayList<>(calls);
    }
  }

  private void serve(String vm, Socket socket, java.io.InputStream in) throws Exception {
    Connection connection = new Connection(vm);
    for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
      if (connection.silent) {
        keepOpen();
      }
      Call call = new Call(connection, request);
      connection.call = call;
      synchronized (calls) {
        calls.add(call);
      }
      byte[] response = answer(connection, request);
      if (connection.silent) {
        keepOpen();
      }
      socket.getOutputStream().write(response);
      call.answeredNanos = System.nanoTime();
    }
  }

  private static void keepOpen() throws InterruptedException {
    Thread.sleep(Long.MAX_VALUE);
  }

  private byte[] answer(Connection connection, Http.Message request) throws InterruptedException {
    return switch (request.path()) {
      case "/v1/rows-get" -> ok(get(request.query()));
      case "/v1/rows-feed" -> ok(feed(connection, request.query()));
      case "/v1/rows-tx" -> transact(request);
      default -> Http.response(404, "", new byte[0]);
    };
  }

  private static byte[] ok(Map<String, Object> body) {
    return Http.response(
        200,
        "Content-Type: application/json\r\n",
        Json.write(body).getBytes(StandardCharsets.UTF_8));
  }

  private Map<String, Object> envelope(List<Row> rows) {
    Map<String, Object> body = new LinkedHashMap<>();
    List<Object> list = new ArrayList<>();
    for (Row row : rows) {
      Map<String, Object> entry = new LinkedHashMap<>();
      entry.put("table", row.table());
      entry.put("part", row.part());
      entry.put("key", row.key());
      if (row.value() == null) {
        entry.put("tombstone", true);
      } else {
        entry.put("value", row.value());
      }
      entry.put("ver", row.version());
      list.add(entry);
    }
    body.put("rows", list);
    body.put("ver", version);
    body.put("now_s", (System.nanoTime() - startNanos) / 1e9);
    return body;
  }

  private synchronized Map<String, Object> get(Map<String, String> query) {
    List<Row> rows = new ArrayList<>();
    boolean more = false;
    int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "" + MAX_ROWS)));
    String to = query.get("to");
    for (Row row : table(query.get("table")).tailMap(query.getOrDefault("from", "")).values()) {
      if (row.value() == null || (to != null && row.key().compareTo(to) >= 0)) {
        continue;
      }
      if (rows.size() == limit) {
        more = true;
        break;
      }
      rows.add(row);
    }
    Map<String, Object> body = envelope(rows);
    body.put("has_more", more);
    return body;
  }

  private TreeMap<String, Row> table(String name) {
    return tables.computeIfAbsent(name, key -> new TreeMap<>());
  }

  private synchronized Map<String, Object> feed(Connection connection, Map<String, String> query)
      throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long endNanos =
        System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
    while (true) {
      List<Row> changed = new ArrayList<>();
      for (Row row : table(query.get("table")).values()) {
        if (row.version() > after) {
          changed.add(row);
        }
      }
      long remainingMillis = (endNanos - System.nanoTime()) / 1_000_000;
      if (!changed.isEmpty() || remainingMillis <= 0 || connection.silent) {
        changed.sort((a, b) -> Long.compare(a.version(), b.version()));
        return envelope(changed);
      }
      wait(Math.max(1, remainingMillis));
    }
  }

  private byte[] transact(Http.Message request) {
    Map<?, ?> body = (Map<?, ?>) Json.read(request.text());
    synchronized (this) {
      for (Object each : (List<?>) body.get("expect")) {
        Map<?, ?> expected = (Map<?, ?>) each;
        Row row = table((String) expected.get("table")).get((String) expected.get("key"));
        long actual = row == null || row.value() == null ? 0 : row.version();
        if (actual != (Long) expected.get("ver")) {
          return Http.response(412, "", "{\"rows\":[]}".getBytes(StandardCharsets.UTF_8));
        }
      }
      for (Object each : (List<?>) body.get("upserts")) {
        Map<?, ?> row = (Map<?, ?>) each;
        String table = (String) row.get("table");
        if (table.equals("op") || table.equals("servers")) {
          return Http.response(403, "", new byte[0]);
        }
      }
      version++;
      for (Object each : (List<?>) body.get("upserts")) {
        Map<?, ?> row = (Map<?, ?>) each;
        String table = (String) row.get("table");
        String key = (String) row.get("key");
        table(table).put(key, new Row(table, "", key, (String) row.get("value"), version));
      }
      notifyAll();
      return ok(envelope(List.of()));
    }
  }

  /** Writes a row for the operator or a target; returns when the store acknowledged it. */
  synchronized long put(String table, String key, String json) {
    version++;
    String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
    table(table).put(key, new Row(table, "", key, value, version));
    notifyAll();
    return System.nanoTime();
  }

  /** Removes a row; returns when the store acknowledged it. */
  synchronized long remove(String table, String key) {
    version++;
    table(table).put(key, new Row(table, "", key, null, version));
    notifyAll();
    return System.nanoTime();
  }
}
