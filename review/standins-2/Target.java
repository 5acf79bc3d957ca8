package org.mustardstage.review2;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A target of a service, as the page PROTOCOL describes it, with its heartbeat in the store. */
final class Target {
  private static final long BEAT_MILLIS = 1_500;

  final String id;
  final String service;
  final ConcurrentMap<String, Long> arrivalNanos = new ConcurrentHashMap<>();
  private final Store store;
  private final Recorder recorder;
  private final String zone;
  private final int slots;
  private final long workMillis;
  private final ServerSocket server;
  private final long bornMillis = System.currentTimeMillis();
  private final AtomicInteger running = new AtomicInteger();
  private volatile boolean beats = true;
  private int sequence;

  Target(
      Store store,
      Recorder recorder,
      String id,
      String service,
      String zone,
      int slots,
      long workMillis)
      throws IOException {
    this.store = store;
    this.recorder = recorder;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.workMillis = workMillis;
    this.server = Http.listen(this::serve);
    beat();
    Thread.ofVirtual().start(this::beatOn);
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  private void beatOn() {
    try {
      while (true) {
        Thread.sleep(BEAT_MILLIS);
        beat();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void beat() {
    if (beats) {
      store.put(
          "servers",
          id,
          String.format(
              Locale.ROOT,
              "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
                  + "\"slots\":%d,\"state\":\"ready\",\"cold_left_s\":0,\"sequence\":%d,"
                  + "\"born\":%d}",
              service,
              address(),
              zone,
              slots,
              ++sequence,
              bornMillis));
    }
  }

  /** Begins to leave without a report of draining: its entry is removed, and it goes on serving. */
  synchronized long leave() {
    beats = false;
    return store.remove("servers", id);
  }

  private void serve(Socket socket, java.io.InputStream in) throws Exception {
    for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
      socket.getOutputStream().write(answer(request));
    }
  }

  private byte[] answer(Http.Message request) throws InterruptedException {
    String load = "X-Server-Load: " + running.get() + ",0," + slots + "\r\n";
    if (request.path().equals("/health")) {
      return Http.response(200, "X-Instance-Id: " + id + "\r\n" + load, new byte[0]);
    }
    String requestId = request.header("X-Request-Id");
    String echo = "X-Request-Id: " + requestId + "\r\n";
    String expected = request.header("X-Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      return Http.response(421, echo + "X-Instance-Id: " + id + "\r\n", new byte[0]);
    }
    if (running.get() >= slots) {
      return Http.response(503, echo + "X-Not-Executed: 1\r\n" + load, new byte[0]);
    }
    long arrived = System.nanoTime();
    arrivalNanos.put(requestId, arrived);
    recorder.addAt(
        arrived, "target " + id + " (" + service + ") runs " + requestId + " " + request.path());
    running.incrementAndGet();
    Thread.sleep(workMillis);
    running.decrementAndGet();
    byte[] body = (service + " " + id).getBytes(StandardCharsets.UTF_8);
    return Http.response(200, echo + "X-Server-Seal: seal." + requestId + "\r\n" + load, body);
  }
}
