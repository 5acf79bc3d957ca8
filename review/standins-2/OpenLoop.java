package org.mustardstage.review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/** Clients of one tenant that send at a fixed rate, whatever is answered, on kept connections. */
final class OpenLoop {
  private record Connection(Socket socket, BufferedInputStream in) {}

  private final Recorder recorder;
  private final EntryVm vm;
  private final String host;
  private final String key;
  private final ConcurrentLinkedDeque<Connection> idle = new ConcurrentLinkedDeque<>();
  private final List<Caller.Sent> sent = new ArrayList<>();
  private final AtomicInteger running = new AtomicInteger();
  private int number;

  OpenLoop(Recorder recorder, EntryVm vm, String host, String key) {
    this.recorder = recorder;
    this.vm = vm;
    this.host = host;
    this.key = key;
  }

  /** Sends {@code perSecond} requests a second for a while. */
  void run(int perSecond, long millis) {
    long start = System.nanoTime();
    long count = perSecond * millis / 1_000;
    for (long i = 0; i < count; i++) {
      LockSupport.parkNanos(start + i * 1_000_000_000L / perSecond - System.nanoTime());
      String id = vm.name + "-h-" + ++number;
      int object = number;
      running.incrementAndGet();
      Thread.ofVirtual().start(() -> send(id, object));
    }
  }

  private void send(String id, int object) {
    long sentNanos = System.nanoTime();
    int status = 0;
    String body;
    try {
      Connection connection = idle.pollFirst();
      if (connection == null) {
        Socket socket = new Socket("127.0.0.1", vm.callerPort);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(9_000);
        connection = new Connection(socket, new BufferedInputStream(socket.getInputStream()));
      }
      String request =
          "POST /look/" + object + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id
              + "\r\nX-Key: " + key + "\r\nCookie: X-Affinity-Key=" + object % 64
              + "\r\nX-Deadline-Ms: 6000\r\nContent-Length: 4\r\n\r\nbody";
      sentNanos = System.nanoTime();
      connection.socket().getOutputStream().write(request.getBytes());
      Http.Message response = Http.read(connection.in());
      if (response == null) {
        body = "the connection was closed";
        connection.socket().close();
      } else {
        status = response.status();
        body = response.text();
        idle.addFirst(connection);
      }
    } catch (IOException e) {
      body = String.valueOf(e.getMessage());
    }
    long answeredNanos = System.nanoTime();
    synchronized (sent) {
      sent.add(new Caller.Sent(id, vm, "/look/", sentNanos, answeredNanos, status, body));
    }
    recorder.addAt(sentNanos, "caller sends " + id + " to " + vm.name);
    recorder.addAt(answeredNanos, "caller gets " + id + ": " + status + " " + body);
    running.decrementAndGet();
  }

  void await() throws InterruptedException {
    while (running.get() > 0) {
      Thread.sleep(20);
    }
  }

  List<Caller.Sent> sent() {
    synchronized (sent) {
      return new ArrayList<>(sent);
    }
  }
}
