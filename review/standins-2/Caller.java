package org.mustardstage.review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A client that sends one request after the other to one entry VM, on a kept connection. */
final class Caller {
  /** One request; {@code status} is 0 if the connection ended without an answer. */
  record Sent(
      String id,
      EntryVm vm,
      String path,
      long sentNanos,
      long answeredNanos,
      int status,
      String body) {}

  private static final long DEADLINE_MILLIS = 2_000;
  private static final AtomicInteger CALLERS = new AtomicInteger();

  private final Recorder recorder;
  private final EntryVm vm;
  private final String host;
  private final String method;
  private final String path;
  private final String prefix;
  private final long pauseMillis;
  private final List<Sent> sent = new ArrayList<>();
  private final Thread thread;
  private volatile boolean stopped;

  Caller(Recorder recorder, EntryVm vm, String host, String method, String path, long pauseMillis) {
    this.recorder = recorder;
    this.vm = vm;
    this.host = host;
    this.method = method;
    this.path = path;
    this.prefix = vm.name + "-c" + CALLERS.incrementAndGet();
    this.pauseMillis = pauseMillis;
    this.thread = Thread.ofVirtual().start(this::run);
  }

  private void run() {
    int number = 0;
    Socket socket = null;
    InputStream in = null;
    try {
      while (!stopped) {
        String id = prefix + "-" + ++number;
        long sentNanos = System.nanoTime();
        int status = 0;
        String body = "";
        double retryAfterSeconds = 0;
        try {
          if (socket == null) {
            socket = new Socket("127.0.0.1", vm.callerPort);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(3_000);
            in = new BufferedInputStream(socket.getInputStream());
          }
          String request =
              method + " " + path + number + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id
                  + "\r\nCookie: X-Affinity-Key="
                  + number % 64
                  + "\r\nX-Deadline-Ms: "
                  + DEADLINE_MILLIS
                  + "\r\n"
                  + (method.equals("POST") ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
          sentNanos = System.nanoTime();
          socket.getOutputStream().write(request.getBytes());
          Http.Message response = Http.read(in);
          if (response != null) {
            status = response.status();
            body = response.text();
            retryAfterSeconds =
                response.header("Retry-After").isEmpty()
                    ? 0
                    : Double.parseDouble(response.header("Retry-After"));
          }
        } catch (IOException e) {
          body = String.valueOf(e.getMessage());
        }
        long answeredNanos = System.nanoTime();
        synchronized (sent) {
          sent.add(new Sent(id, vm, path, sentNanos, answeredNanos, status, body));
        }
        recorder.addAt(sentNanos, "caller sends " + id + " to " + vm.name + ": " + path + number);
        recorder.addAt(answeredNanos, "caller gets " + id + ": " + status + " " + body);
        if (status == 0 && socket != null) {
          socket.close();
          socket = null;
        }
        // Callers honour Retry-After up to a third of the time that they have.
        Thread.sleep(pauseMillis + (long) Math.min(DEADLINE_MILLIS / 3, 1_000 * retryAfterSeconds));
      }
      if (socket != null) {
        socket.close();
      }
    } catch (InterruptedException | IOException e) {
      Thread.currentThread().interrupt();
    }
  }

  List<Sent> stop() throws InterruptedException {
    stopped = true;
    thread.join();
    synchronized (sent) {
      return new ArrayList<>(sent);
    }
  }

  List<Sent> soFar() {
    synchronized (sent) {
      return new ArrayList<>(sent);
    }
  }
}
