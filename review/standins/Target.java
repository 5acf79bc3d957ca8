import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A target: registers itself in the store, runs some requests at a time and queues a few more. */
class Target implements AutoCloseable {
  final String id;
  final String service;
  final String zone;
  final int slots;
  final long workMillis;
  private final Store store;
  private final Record record;
  private final ServerSocket server;
  private final Semaphore free;
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger waiting = new AtomicInteger();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final long bornMillis = System.currentTimeMillis();
  private volatile boolean closed;
  private volatile double slowness = 1;
  private int sequence;

  Target(Store store, Record record, String host, String id, String service, String zone, int slots, long workMillis)
      throws IOException {
    this.store = store;
    this.record = record;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.workMillis = workMillis;
    this.free = new Semaphore(slots, true);
    server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 500);
    Thread.ofVirtual().start(this::acceptAll);
    Thread.ofVirtual().start(this::beat);
  }

  /** Makes the work of the requests that start from now on take {@code times} as long. */
  void slowDown(double times) {
    slowness = times;
  }

  String address() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  private void beat() {
    while (!closed) {
      register();
      Lab.sleep(1_500);
    }
  }

  private synchronized void register() {
    if (!closed) {
      store.put("servers", id, entry(++sequence));
    }
  }

  private String entry(int number) {
    return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
        + "\",\"version\":\"1\",\"slots\":" + slots
        + ",\"state\":\"ready\",\"cold_left_s\":0,\"sequence\":" + number
        + ",\"born\":" + bornMillis + "}";
  }

  private void acceptAll() {
    while (!closed) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        open.add(socket);
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
        handle(socket, out, request);
      }
    } catch (IOException | InterruptedException e) {
      // The caller has left.
    } finally {
      open.remove(socket);
    }
  }

  private void handle(Socket socket, OutputStream out, Http.Message request)
      throws IOException, InterruptedException {
    String path = request.target();
    if (path.equals("/health")) {
      write(out, 200, "X-Instance-Id: " + id + "\r\n", "ok");
      return;
    }
    String requestId = request.header("X-Request-Id");
    String echo = "X-Request-Id: " + requestId + "\r\n";
    String expected = request.header("X-Expect-Instance");
    if (expected != null && !expected.equals(id)) {
      write(out, 421, echo + "X-Not-Executed: 1\r\n", "");
      return;
    }
    if (requestId == null) {
      write(out, 400, "X-Not-Executed: 1\r\n", "");
      return;
    }
    String deadline = request.header("X-Deadline-Ms");
    long leftMillis = deadline == null ? 60_000 : Long.parseLong(deadline);
    if (waiting.get() >= 3 * slots) {
      write(out, 503, echo + "X-Not-Executed: 1\r\n", "");
      return;
    }
    waiting.incrementAndGet();
    boolean slot = free.tryAcquire(leftMillis, TimeUnit.MILLISECONDS);
    waiting.decrementAndGet();
    if (!slot) {
      write(out, 503, echo + "X-Not-Executed: 1\r\n", "");
      return;
    }
    running.incrementAndGet();
    try {
      record.add("run", id, requestId, request.method() + " " + path);
      run(socket, out, request, requestId);
    } finally {
      running.decrementAndGet();
      free.release();
    }
  }

  /** Works on a request and answers it. */
  void run(Socket socket, OutputStream out, Http.Message request, String requestId)
      throws IOException, InterruptedException {
    Thread.sleep((long) (workMillis * slowness));
    answer(out, requestId, "served " + requestId + " by " + id);
  }

  final void answer(OutputStream out, String requestId, String body) throws IOException {
    write(out, 200, "X-Request-Id: " + requestId + "\r\nX-Server-Seal: seal-" + id + "\r\n", body);
  }

  final void write(OutputStream out, int status, String headers, String body) throws IOException {
    out.write(
        ("HTTP/1.1 " + status + " OK\r\n" + headers
            + "X-Server-Load: " + running.get() + "," + waiting.get() + "," + slots + "\r\n"
            + "Keep-Alive: timeout=10\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
            .getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Crashes: closes the listener and all connections, and writes to the store no more. */
  @Override
  public synchronized void close() throws IOException {
    closed = true;
    server.close();
    for (Socket socket : open) {
      socket.close();
    }
  }
}
