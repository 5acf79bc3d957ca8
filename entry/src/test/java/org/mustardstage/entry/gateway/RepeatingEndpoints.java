package org.mustardstage.entry.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Responds for endpoints that refuse, run or lose requests by a seed, and that write earlier
 * responses of a connection again. Records what ran.
 */
final class RepeatingEndpoints {
  private static final String MISDIRECTED = "421 Misdirected";
  private static final List<String> REFUSALS =
      List.of("503 Full", "429 Busy", "408 Late", MISDIRECTED, "400 Bad");

  /** When an endpoint writes copies of an earlier response. */
  private enum Moment {
    DURING_THE_WORK,
    BEFORE_THE_RESPONSE,
    WITH_THE_RESPONSE,
    AFTER_THE_RESPONSE,
    BETWEEN_REQUESTS
  }

  /** What an endpoint has written on one connection, on which it writes whole responses only. */
  private static final class Connection {
    private final Socket socket;
    private final List<String> written = new ArrayList<>();

    Connection(Socket socket) {
      this.socket = socket;
    }

    synchronized void respond(String response) throws IOException {
      FakeEndpoint.write(socket, response);
      written.add(response);
    }

    /** Writes a response right behind a copy, with no pause in which the VM could read the copy. */
    synchronized void respondBehind(String copy, String response) throws IOException {
      FakeEndpoint.write(socket, copy + response);
      written.add(response);
    }

    synchronized void writeCopies(String copy, int count, boolean split)
        throws IOException, InterruptedException {
      for (int i = 0; i < count; i++) {
        int firstChars = split ? copy.length() / 2 : copy.length();
        FakeEndpoint.write(socket, copy.substring(0, firstChars));
        if (split) {
          Thread.sleep(2);
          FakeEndpoint.write(socket, copy.substring(firstChars));
        }
      }
    }

    synchronized List<String> writtenFor(String id) {
      return written.stream().filter(each -> each.contains(idLine(id))).toList();
    }

    synchronized List<String> written() {
      return List.copyOf(written);
    }
  }

  private final long seed;
  private final Map<Socket, Connection> connections = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> arrivals = new ConcurrentHashMap<>();
  private final Map<String, List<Long>> runNanos = new ConcurrentHashMap<>();
  private final Map<String, List<String>> bodies = new ConcurrentHashMap<>();
  private final AtomicInteger copies = new AtomicInteger();
  private final AtomicInteger copiesForSameId = new AtomicInteger();

  RepeatingEndpoints(long seed) {
    this.seed = seed;
  }

  /** Returns when each run of the request with this id began. */
  List<Long> runNanos(String id) {
    return runNanos.getOrDefault(id, List.of());
  }

  /** Returns the bodies that were produced for the request with this id. */
  List<String> bodies(String id) {
    return bodies.getOrDefault(id, List.of());
  }

  /** Returns how many requests met copies of an earlier response. */
  int copies() {
    return copies.get();
  }

  /** Returns how many requests met copies of a response with their own id. */
  int copiesForSameId() {
    return copiesForSameId.get();
  }

  /** Responds to a request that arrived at {@code endpointId}. */
  void handle(String endpointId, FakeEndpoint.ReceivedRequest request, Socket socket)
      throws IOException, InterruptedException {
    String id = request.header("X-Request-Id");
    int arrival = arrivals.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
    SplittableRandom choices = new SplittableRandom(Objects.hash(seed, id, arrival));
    Connection connection = connections.computeIfAbsent(socket, Connection::new);
    List<String> forSameId = connection.writtenFor(id);
    List<String> candidates = forSameId.isEmpty() ? connection.written() : forSameId;
    boolean writesCopies =
        !candidates.isEmpty() && choices.nextInt(100) < (forSameId.isEmpty() ? 15 : 80);
    Moment moment = Moment.values()[choices.nextInt(Moment.values().length)];
    String copy = writesCopies ? candidates.get(choices.nextInt(candidates.size())) : "";
    int count = choices.nextInt(1, 4);
    boolean split = choices.nextBoolean();
    if (writesCopies) {
      copies.incrementAndGet();
      copiesForSameId.addAndGet(forSameId.isEmpty() ? 0 : 1);
    }
    boolean misdirected = !request.header("X-Expect-Instance").equals(endpointId);
    String response;
    if (misdirected || choices.nextInt(100) < 30) {
      String refusal = misdirected ? MISDIRECTED : REFUSALS.get(choices.nextInt(5));
      response = response(refusal, id, "X-Not-Executed: 1\r\n", "");
    } else {
      long workMillis = choices.nextLong(5, 61);
      runNanos.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>()).add(System.nanoTime());
      Thread.sleep(workMillis / 2);
      if (writesCopies && moment == Moment.DURING_THE_WORK) {
        connection.writeCopies(copy, count, split);
      }
      Thread.sleep(workMillis - workMillis / 2);
      int end = choices.nextInt(100);
      if (end < 3) {
        socket.close();
        return;
      }
      String body = "body of " + id + " by " + endpointId + ", arrival " + arrival;
      bodies.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>()).add(body);
      response =
          end < 8
              ? response("500 Failed", id, "", "")
              : response("200 OK", id, "X-Server-Seal: seal\r\n", body);
    }
    if (writesCopies && moment == Moment.BEFORE_THE_RESPONSE) {
      connection.writeCopies(copy, count, split);
    }
    if (writesCopies && moment == Moment.WITH_THE_RESPONSE) {
      connection.respondBehind(copy, response);
    } else {
      connection.respond(response);
    }
    if (choices.nextInt(100) < 10 || (writesCopies && moment == Moment.AFTER_THE_RESPONSE)) {
      connection.writeCopies(copy.isEmpty() ? response : copy, count, split);
    } else if (writesCopies && moment == Moment.BETWEEN_REQUESTS) {
      writeLater(connection, copy, count, choices.nextLong(1, 30));
    }
  }

  private static void writeLater(Connection connection, String copy, int count, long millis) {
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                Thread.sleep(millis);
                connection.writeCopies(copy, count, /* split= */ false);
              } catch (IOException | InterruptedException e) {
                // The connection was closed meanwhile.
              }
            });
  }

  private static String response(String status, String id, String headers, String body) {
    return "HTTP/1.1 "
        + status
        + "\r\n"
        + idLine(id)
        + "X-Server-Load: 1,0,9\r\n"
        + headers
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static String idLine(String id) {
    return "X-Request-Id: " + id + "\r\n";
  }
}
