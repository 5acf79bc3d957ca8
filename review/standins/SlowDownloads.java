import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** An entry VM gets SIGTERM while clients read their downloads slowly, within their deadline. */
final class SlowDownloads {
  private static final int TARGETS = 6;
  private static final int SLOTS = 6;
  private static final long WORK_MILLIS = 729;
  private static final int BODY_BYTES = 540_000;
  private static final double AIM_SECONDS = 0.766;
  private static final double DEADLINE_SECONDS = 4.885;
  private static final long DEADLINE_MILLIS = 4_885;

  /** How long a client takes to read its download, from the first byte on. */
  private static final long READING_MILLIS = 4_000;

  private static final int STEPS = 80;
  private static final int RECEIVE_BUFFER_BYTES = 4 << 10;
  private static final long INTERVAL_MILLIS = 80;
  private static final int DOWNLOADS = 100;
  private static final int TERMINATED_AFTER = 65;
  private static final double GRACE_SECONDS = 6;
  private static final double LOSS_SLACK_SECONDS = 0.2;

  private SlowDownloads() {}

  /** A download: when it was sent and when it ended, how, and how much of it has arrived. */
  private record Download(String id, double sentAt, double endedAt, String how, int bytes) {
    boolean isCut() {
      return how.equals("cut");
    }
  }

  /** A target that notes when it has handed out the whole answer. */
  private static final class Bundles extends Target {
    private final Lab lab;
    private final Map<String, Double> doneAt;

    Bundles(Lab lab, int number, Map<String, Double> doneAt) throws IOException {
      super(
          lab.store, lab.record, "127.0.2." + number, "i-" + number, "expedition", "north-a", SLOTS, WORK_MILLIS);
      this.lab = lab;
      this.doneAt = doneAt;
    }

    @Override
    void run(Socket socket, OutputStream out, Http.Message request, String requestId)
        throws IOException, InterruptedException {
      Thread.sleep(WORK_MILLIS);
      answer(out, requestId, "x".repeat(BODY_BYTES));
      doneAt.put(requestId, lab.record.add("done", id, requestId, BODY_BYTES + " bytes handed out").atSeconds());
    }
  }

  public static void main(String[] args) {
    Case.run(args, SlowDownloads::isBroken);
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
    Map<String, Double> doneAt = new ConcurrentHashMap<>();
    for (int i = 1; i <= TARGETS; i++) {
      lab.closeables.add(new Bundles(lab, i, doneAt));
    }
    Lab.Vm vm = lab.startVm("edge-1", "127.0.1.1", "north-a", "");
    lab.startVm("edge-2", "127.0.1.2", "north-b", "");
    lab.awaitReady(30);
    Lab.sleep(7_000);
    ConcurrentLinkedQueue<Download> downloads = new ConcurrentLinkedQueue<>();
    List<Thread> clients = new ArrayList<>();
    double terminatedAt = Double.MAX_VALUE;
    for (int i = 0; i < DOWNLOADS; i++) {
      if (i == TERMINATED_AFTER && lab.trouble) {
        vm.signal("TERM");
        terminatedAt = lab.record.now();
      }
      String id = "d" + i;
      clients.add(Thread.ofVirtual().start(() -> downloads.add(download(lab, vm, id))));
      Lab.sleep(INTERVAL_MILLIS);
    }
    for (Thread client : clients) {
      client.join();
    }
    double from = terminatedAt;
    List<Download> lost =
        downloads.stream()
            .filter(Download::isCut)
            .filter(each -> doneAt.containsKey(each.id()))
            .filter(each -> each.endedAt() > each.sentAt() + LOSS_SLACK_SECONDS)
            .filter(each -> each.endedAt() < each.sentAt() + DEADLINE_SECONDS)
            .filter(each -> each.endedAt() < from + GRACE_SECONDS + 1)
            .filter(each -> doneAt.get(each.id()) < from + GRACE_SECONDS * 5 / 6)
            .toList();
    lost.forEach(
        each ->
            lab.record.add(
                "lost", vm.name, each.id(),
                String.format(
                    Locale.ROOT,
                    "%d of %d bytes, cut %.3f s after it was sent; its target was done %.3f s after the SIGTERM",
                    each.bytes(), BODY_BYTES, each.endedAt() - each.sentAt(), doneAt.get(each.id()) - from)));
    lab.record.note(
        downloads.size() + " downloads, whole: "
            + downloads.stream().filter(each -> each.how().equals("whole")).count() + ", refused: "
            + downloads.stream().filter(each -> each.how().equals("refused")).count() + ", cut: "
            + downloads.stream().filter(Download::isCut).count());
    lab.record.note(
        "LOST: " + lost.size() + " downloads that the VM had read and passed on were cut around its SIGTERM, "
            + "inside their deadline, allowed 0" + (lost.isEmpty() ? "" : ": BROKEN"));
    return !lost.isEmpty();
  }

  private static Download download(Lab lab, Lab.Vm vm, String id) {
    double sentAt = lab.record.now();
    int bytes = 0;
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      // Each client has an address of its own.
      socket.bind(new java.net.InetSocketAddress("127.0.5." + (Integer.parseInt(id.substring(1)) + 1), 0));
      socket.connect(new java.net.InetSocketAddress(vm.host, vm.callerPort), 1_000);
      socket.setSoTimeout((int) DEADLINE_MILLIS);
      socket
          .getOutputStream()
          .write(
              ("GET /manifest/bundle HTTP/1.1\r\nHost: " + Lab.HOST + "\r\nX-Request-Id: " + id
                  + "\r\nX-Deadline-Ms: " + DEADLINE_MILLIS + "\r\n\r\n")
                  .getBytes(StandardCharsets.ISO_8859_1));
      sentAt = lab.record.add("sent", vm.name, id, "GET /manifest/bundle").atSeconds();
      InputStream in = new BufferedInputStream(socket.getInputStream(), 1);
      String head = readHead(in);
      if (head == null) {
        return ended(lab, vm, id, sentAt, "cut", 0);
      }
      if (!head.startsWith("HTTP/1.1 200")) {
        return ended(lab, vm, id, sentAt, "refused", 0);
      }
      for (int step = 1; step <= STEPS; step++) {
        int wanted = (int) ((long) BODY_BYTES * step / STEPS) - bytes;
        int got = in.readNBytes(wanted).length;
        bytes += got;
        if (got < wanted) {
          return ended(lab, vm, id, sentAt, "cut", bytes);
        }
        Lab.sleep(READING_MILLIS / STEPS);
      }
      return ended(lab, vm, id, sentAt, "whole", bytes);
    } catch (SocketTimeoutException e) {
      return ended(lab, vm, id, sentAt, "late", bytes);
    } catch (java.net.ConnectException e) {
      return ended(lab, vm, id, sentAt, "refused", 0);
    } catch (IOException e) {
      return ended(lab, vm, id, sentAt, "cut", bytes);
    }
  }

  private static Download ended(Lab lab, Lab.Vm vm, String id, double sentAt, String how, int bytes) {
    double at = lab.record.add("ended", vm.name, id, how + ", " + bytes + " bytes").atSeconds();
    return new Download(id, sentAt, at, how, bytes);
  }

  /** Reads the head of an answer; null if there is none. */
  private static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
      int b = in.read();
      if (b < 0) {
        return null;
      }
      head.append((char) b);
    }
    return head.toString();
  }
}
