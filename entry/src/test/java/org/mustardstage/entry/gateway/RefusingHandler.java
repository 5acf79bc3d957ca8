package org.mustardstage.entry.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Refuses some requests, and writes the last refusal of each connection again: at once, or around
 * the response to a later request.
 */
final class RefusingHandler implements FakeEndpoint.Handler {
  private static final int REQUESTS_PER_REFUSAL = 5;
  private static final long WORK_MILLIS = 10;

  /** When an endpoint writes a refusal again. */
  private enum Moment {
    BEFORE_THE_NEXT_REQUEST,
    DURING_THE_WORK,
    WITH_THE_RESPONSE,
    AFTER_THE_RESPONSE,
    SEVERAL_TIMES,
    IN_TWO_READS
  }

  private final String refusal;
  private final Map<Socket, String> lastRefusals = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> runsById = new ConcurrentHashMap<>();
  private final AtomicInteger received = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger copies = new AtomicInteger();

  /** Creates a handler that refuses with a status line such as {@code 503 Full}. */
  RefusingHandler(String refusal) {
    this.refusal = refusal;
  }

  static String bodyFor(String id) {
    return "done " + id;
  }

  int runs(String id) {
    AtomicInteger runs = runsById.get(id);
    return runs == null ? 0 : runs.get();
  }

  int refused() {
    return refused.get();
  }

  int copies() {
    return copies.get();
  }

  @Override
  public void handle(FakeEndpoint.ReceivedRequest request, Socket socket)
      throws IOException, InterruptedException {
    int number = received.incrementAndGet();
    Moment moment = Moment.values()[(number / REQUESTS_PER_REFUSAL) % Moment.values().length];
    if (number % REQUESTS_PER_REFUSAL == 0) {
      String text = refusalOf(request);
      refused.incrementAndGet();
      FakeEndpoint.write(socket, text);
      lastRefusals.put(socket, text);
      if (moment == Moment.BEFORE_THE_NEXT_REQUEST) {
        writeCopy(socket, text);
      }
      return;
    }
    String id = request.header("X-Request-Id");
    runsById.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
    String copy = lastRefusals.getOrDefault(socket, "");
    switch (moment) {
      case DURING_THE_WORK -> writeCopy(socket, copy);
      case SEVERAL_TIMES -> writeCopy(socket, copy.repeat(3));
      case IN_TWO_READS -> {
        writeCopy(socket, copy.substring(0, copy.length() / 2));
        Thread.sleep(WORK_MILLIS / 2);
        writeCopy(socket, copy.substring(copy.length() / 2));
      }
      case BEFORE_THE_NEXT_REQUEST, WITH_THE_RESPONSE, AFTER_THE_RESPONSE -> {}
    }
    Thread.sleep(WORK_MILLIS);
    if (moment == Moment.WITH_THE_RESPONSE) {
      writeCopy(socket, copy);
    }
    FakeEndpoint.respondOk(request, socket, bodyFor(id));
    if (moment == Moment.AFTER_THE_RESPONSE) {
      writeCopy(socket, copy);
    }
  }

  private void writeCopy(Socket socket, String copy) throws IOException {
    if (!copy.isEmpty()) {
      copies.incrementAndGet();
      FakeEndpoint.write(socket, copy);
    }
  }

  private String refusalOf(FakeEndpoint.ReceivedRequest request) {
    return "HTTP/1.1 "
        + refusal
        + "\r\nX-Request-Id: "
        + request.header("X-Request-Id")
        + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }
}
