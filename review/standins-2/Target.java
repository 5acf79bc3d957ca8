package org.mustardstage.review2;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
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
  private final int port;
  private volatile ServerSocket server;
  private volatile long bornMillis = System.currentTimeMillis();
  private final List<Socket> sockets = new ArrayList<>();
  private int mostInOneSecond;
  private final AtomicInteger running = new AtomicInteger();
  private volatile boolean beats = true;
  private volatile long coldUntilNanos = System.nanoTime();
  private volatile boolean crashed;
  private volatile long lastBeatNanos;
  private int crashRequestsPerSecond = Integer.MAX_VALUE;
  private final Deque<Long> coldArrivals = new ArrayDeque<>();
  private int sequence;

  Target(
      Store store,
      Recorder recorder,
      String id,
      String service,
      String zone,
      int slots,
      long workMillis,
      double coldSeconds)
      throws IOException {
    this.store = store;
    this.recorder = recorder;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.workMillis = workMillis;
    this.coldUntilNanos = System.nanoTime() + (long) (coldSeconds * 1e9);
    this.server = Http.listen(this::serve);
    this.port = server.getLocalPort();
    beat();
    Thread.ofVirtual().start(this::beatOn);
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Ends when it gets more requests than this in one second while it is cold. */
  void crashAbove(int requestsPerSecond) {
    crashRequestsPerSecond = requestsPerSecond;
  }

  /** Becomes cold, or cold again, and says so in its entry. */
  void becomeCold(double seconds) {
    coldUntilNanos = System.nanoTime() + (long) (seconds * 1e9);
    beat();
  }

  boolean hasCrashed() {
    return crashed;
  }

  private double coldLeftSeconds() {
    return Math.max(0, (coldUntilNanos - System.nanoTime()) / 1e9);
  }

  /** Counts a request that arrives while the target is cold; returns how many did in one second. */
  private int countColdArrival(long nowNanos) {
    if (nowNanos - coldUntilNanos >= 0) {
      return 0;
    }
    synchronized (coldArrivals) {
      coldArrivals.addLast(nowNanos);
      while (nowNanos - coldArrivals.peekFirst() > 1_000_000_000L) {
        coldArrivals.removeFirst();
      }
      mostInOneSecond = Math.max(mostInOneSecond, coldArrivals.size());
      return coldArrivals.size();
    }
  }

  /** Returns the largest number of requests that arrived in one second while it was cold. */
  int mostInOneSecond() {
    synchronized (coldArrivals) {
      return mostInOneSecond;
    }
  }

  /** Ends at once: its connections are reset and nothing more is answered. */
  void crash(String why) {
    crashed = true;
    beats = false;
    recorder.add("target " + id + " crashes: " + why);
    try {
      server.close();
    } catch (IOException e) {
      // It is closed.
    }
    synchronized (sockets) {
      for (Socket socket : sockets) {
        try {
          socket.setSoLinger(true, 0);
          socket.close();
        } catch (IOException e) {
          // It is closed.
        }
      }
    }
  }

  /** Starts again after a crash, at its address and under its id, cold for a while. */
  void startAgain(double coldSeconds) throws IOException {
    synchronized (sockets) {
      sockets.clear();
    }
    running.set(0);
    bornMillis = System.currentTimeMillis();
    coldUntilNanos = System.nanoTime() + (long) (coldSeconds * 1e9);
    server = Http.listen(port, this::serve);
    crashed = false;
    beats = true;
    synchronized (this) {
      sequence = 0;
      beat();
    }
    recorder.add("target " + id + " starts again, born " + bornMillis);
  }

  /** Writes the entry BEAT_MILLIS after it was written last. */
  private void beatOn() {
    try {
      while (true) {
        long dueMillis = BEAT_MILLIS - (System.nanoTime() - lastBeatNanos) / 1_000_000;
        if (dueMillis > 0) {
          Thread.sleep(dueMillis);
        } else {
          beat();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void beat() {
    lastBeatNanos = System.nanoTime();
    if (beats) {
      store.put(
          "servers",
          id,
          String.format(
              Locale.ROOT,
              "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
                  + "\"slots\":%d,\"state\":\"ready\",\"cold_left_s\":%.3f,\"sequence\":%d,"
                  + "\"born\":%d}",
              service,
              address(),
              zone,
              slots,
              coldLeftSeconds(),
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
    synchronized (sockets) {
      sockets.add(socket);
    }
    for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
      socket.getOutputStream().write(answer(request));
    }
  }

  private byte[] answer(Http.Message request) throws InterruptedException {
    String load = "X-Server-Load: " + running.get() + ",0," + slots + "\r\n";
    if (request.path().equals("/health")) {
      String cold = "X-Cold-Ms: " + (long) (1_000 * coldLeftSeconds()) + "\r\n";
      return Http.response(200, "X-Instance-Id: " + id + "\r\n" + cold + load, new byte[0]);
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
    int inOneSecond = countColdArrival(arrived);
    arrivalNanos.put(requestId, arrived);
    recorder.addAt(
        arrived, "target " + id + " (" + service + ") runs " + requestId + " " + request.path());
    if (inOneSecond > crashRequestsPerSecond) {
      crash("more requests than it tolerates while it is cold");
    }
    running.incrementAndGet();
    Thread.sleep(workMillis);
    running.decrementAndGet();
    byte[] body = (service + " " + id).getBytes(StandardCharsets.UTF_8);
    return Http.response(200, echo + "X-Server-Seal: seal." + requestId + "\r\n" + load, body);
  }
}
