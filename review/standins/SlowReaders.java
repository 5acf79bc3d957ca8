import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** An entry VM is stopped while clients read large answers slowly, each within its deadline. */
final class SlowReaders {
  private static final int TARGETS = 17;
  private static final int SLOTS = 6;
  private static final long WORK_MILLIS = 729;
  private static final double AIM_SECONDS = 0.766;
  private static final double DEADLINE_SECONDS = 4.885;
  private static final double GRACE_SECONDS = 6;

  /** From then on a target that is still at work excuses an answer that ends early. */
  private static final double LAST_SIXTH_SECONDS = 5;

  private static final int ANSWER_BYTES = 700_000;

  /** With the work of the target, a client has its whole answer 4.5 s after it asked. */
  private static final int BYTES_PER_SECOND = 190_000;

  private static final int STEP_BYTES = 5_700;
  private static final int RECEIVE_BUFFER_BYTES = 16 << 10;
  private static final int CLIENT_ADDRESSES = 8;
  private static final long INTERVAL_MILLIS = 85;
  private static final long CALM_MILLIS = 5_000;
  private static final long AFTER_MILLIS = 3_000;

  private SlowReaders() {}

  /** A target whose answers are large, and which notes when it has handed one out whole. */
  private static final class Expedition extends Target {
    private final Lab lab;
    private final Map<String, Double> ended;

    Expedition(Lab lab, int number, Map<String, Double> ended) throws IOException {
      super(
          lab.store, lab.record, "127.0.2." + number, "i-" + number, "expedition", "north-a", SLOTS, WORK_MILLIS);
      this.lab = lab;
      this.ended = ended;
    }

    @Override
    void run(Socket socket, OutputStream out, Http.Message request, String requestId)
        throws IOException, InterruptedException {
      Thread.sleep(WORK_MILLIS);
      answer(out, requestId, "m".repeat(ANSWER_BYTES));
      ended.put(requestId, lab.record.add("handed", id, requestId, ANSWER_BYTES + " bytes").atSeconds());
    }
  }

  /** How a request ended; {@code status} is 0 if there was no answer at all. */
  private record Read(String id, double sentAtSeconds, double endedAtSeconds, int status, long bodyBytes) {
    double age() {
      return endedAtSeconds - sentAtSeconds;
    }
  }

  public static void main(String[] args) {
    Case.run(args, SlowReaders::isBroken);
  }

  private static boolean isBroken(Lab lab) throws Exception {
    lab.store.put(
        "op",
        "config",
        Config.of(
            1,
            List.of("expedition"),
            List.of(
                new Config.Route("manifest", "download", AIM_SECONDS, DEADLINE_SECONDS, "expedition"))));
    Map<String, Double> ended = new ConcurrentHashMap<>();
    for (int i = 1; i <= TARGETS; i++) {
      lab.closeables.add(new Expedition(lab, i, ended));
    }
    Lab.Vm vm = lab.startVm("edge-1", "127.0.1.1", "north-a", "");
    lab.startVm("edge-2", "127.0.1.2", "north-a", "");
    lab.awaitReady(30);
    Lab.sleep(8_000);
    ConcurrentLinkedQueue<Read> reads = new ConcurrentLinkedQueue<>();
    List<Thread> clients = new ArrayList<>();
    double stoppedAt = Double.MAX_VALUE;
    for (int i = 0; i < (CALM_MILLIS + AFTER_MILLIS) / INTERVAL_MILLIS; i++) {
      if (lab.trouble && i == CALM_MILLIS / INTERVAL_MILLIS) {
        vm.signal("TERM");
        stoppedAt = lab.record.now();
      }
      int number = i;
      clients.add(Thread.ofVirtual().start(() -> download(lab, vm, number, reads)));
      Lab.sleep(INTERVAL_MILLIS);
    }
    for (Thread client : clients) {
      client.join();
    }
    int lost = 0;
    for (Read read : reads) {
      boolean whole = read.status() == 200 && read.bodyBytes() == ANSWER_BYTES;
      boolean inTime = read.age() < DEADLINE_SECONDS;
      boolean planned =
          read.sentAtSeconds() < stoppedAt + GRACE_SECONDS + 1 && read.endedAtSeconds() > stoppedAt;
      Double handed = ended.get(read.id());
      boolean targetAtWork = handed == null || handed > stoppedAt + LAST_SIXTH_SECONDS;
      if (read.status() == 200 && !whole && inTime && planned && !targetAtWork) {
        lost++;
        lab.record.add(
            "lost", vm.name, read.id(),
            String.format(
                "sent %.2f s after SIGTERM, cut %.2f s after it at %d of %d bytes",
                read.sentAtSeconds() - stoppedAt, read.endedAtSeconds() - stoppedAt, read.bodyBytes(), ANSWER_BYTES));
      }
    }
    lab.record.note(
        reads.size() + " downloads; whole: "
            + reads.stream().filter(read -> read.status() == 200 && read.bodyBytes() == ANSWER_BYTES).count()
            + ", refused: " + reads.stream().filter(read -> read.status() == 503).count());
    lab.record.note(
        "longest whole download: "
            + reads.stream()
                .filter(read -> read.bodyBytes() == ANSWER_BYTES)
                .mapToDouble(Read::age)
                .max()
                .orElse(0)
            + " s of " + DEADLINE_SECONDS);
    lab.record.note(
        "LOST: " + lost + " were answered 200 and cut midway by the stop, their target long done, allowed 0"
            + (lost > 0 ? ": BROKEN" : ""));
    return lost > 0;
  }

  /** Asks for a manifest and reads it at a steady pace. */
  private static void download(Lab lab, Lab.Vm vm, int number, ConcurrentLinkedQueue<Read> reads) {
    String id = "m" + number;
    double sent = lab.record.now();
    int status = 0;
    long body = 0;
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.4." + (1 + number % CLIENT_ADDRESSES)), 0));
      socket.connect(new InetSocketAddress(vm.host, vm.callerPort), 1_000);
      socket.setSoTimeout(6_000);
      sent = lab.record.now();
      socket
          .getOutputStream()
          .write(
              ("GET /manifest/" + number + " HTTP/1.1\r\nHost: " + Lab.HOST + "\r\nX-Request-Id: " + id
                      + "\r\nX-Deadline-Ms: " + (long) (DEADLINE_SECONDS * 1_000) + "\r\n\r\n")
                  .getBytes(StandardCharsets.ISO_8859_1));
      lab.record.add("sent", vm.name, id, "GET /manifest/" + number);
      InputStream in = socket.getInputStream();
      status = readHead(in);
      byte[] step = new byte[STEP_BYTES];
      long begun = System.nanoTime();
      while (status == 200 && body < ANSWER_BYTES) {
        int read = in.read(step, 0, (int) Math.min(STEP_BYTES, ANSWER_BYTES - body));
        if (read < 0) {
          break;
        }
        body += read;
        long dueMillis = 1_000 * body / BYTES_PER_SECOND;
        Lab.sleep(Math.max(0, dueMillis - (System.nanoTime() - begun) / 1_000_000));
      }
    } catch (IOException e) {
      lab.record.add("closed", vm.name, id, String.valueOf(e.getMessage()));
    }
    double end = lab.record.add("answer", vm.name, id, status + " with " + body + " bytes of the body").atSeconds();
    reads.add(new Read(id, sent, end, status, body));
  }

  /** Reads the head of an answer; returns its status, or 0 at the end of the stream. */
  private static int readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int b = in.read();
      if (b < 0) {
        return 0;
      }
      head.append((char) b);
    }
    return Integer.parseInt(head.substring(9, 12));
  }
}
