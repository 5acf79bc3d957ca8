import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.zip.GZIPOutputStream;

/** Some clients send the body of a booking compressed, and say so in Content-Encoding. */
final class EncodedBody {
  private static final int TARGETS = 4;
  private static final int SLOTS = 9;
  private static final long WORK_MILLIS = 100;
  private static final long DEADLINE_MILLIS = 1_500;
  private static final int REQUESTS = 100;
  private static final int ENCODED_EACH = 5;
  private static final long INTERVAL_MILLIS = 40;

  private EncodedBody() {}

  public static void main(String[] args) {
    Case.run(args, EncodedBody::isBroken);
  }

  /** A target that records what it was sent. */
  private static final class RecordingTarget extends Target {
    private final Record record;
    private final Map<String, String> received;

    RecordingTarget(Lab lab, int number, Map<String, String> received) throws IOException {
      super(lab.store, lab.record, "127.0.2." + number, "i-" + number, "order-desk", "north-a", SLOTS, WORK_MILLIS);
      this.record = lab.record;
      this.received = received;
    }

    @Override
    void run(Socket socket, OutputStream out, Http.Message request, String requestId)
        throws IOException, InterruptedException {
      received.put(requestId, digest(request.body()));
      record.add(
          "body", id, requestId,
          request.body().length + " bytes, SHA-256 " + digest(request.body()) + ", Content-Encoding "
              + request.header("Content-Encoding"));
      super.run(socket, out, request, requestId);
    }
  }

  private static boolean isBroken(Lab lab) throws Exception {
    lab.store.put(
        "op",
        "config",
        Config.of(
            1,
            List.of("order-desk"),
            List.of(new Config.Route("booking", "non_idempotent", 0.3, 1.5, "order-desk"))));
    Map<String, String> received = new ConcurrentHashMap<>();
    for (int i = 1; i <= TARGETS; i++) {
      lab.closeables.add(new RecordingTarget(lab, i, received));
    }
    lab.startVm("edge-1", "127.0.1.1", "north-a", "");
    lab.startVm("edge-2", "127.0.1.2", "north-b", "");
    lab.awaitReady(30);
    Lab.sleep(5_000);
    Map<String, String> sent = new ConcurrentHashMap<>();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      int number = i;
      clients.add(Thread.ofVirtual().start(() -> book(lab, number, sent)));
      Lab.sleep(INTERVAL_MILLIS);
    }
    for (Thread client : clients) {
      client.join();
    }
    long changed =
        received.entrySet().stream()
            .filter(run -> !run.getValue().equals(sent.get(run.getKey())))
            .count();
    lab.record.note(sent.size() + " bookings, run: " + received.size());
    lab.record.note(
        "UNASKED: " + changed + " ran with another body than their client sent, allowed 0"
            + (changed > 0 ? ": BROKEN" : ""));
    return changed > 0;
  }

  private static void book(Lab lab, int number, Map<String, String> sent) {
    Lab.Vm vm = lab.vms.get(number % lab.vms.size());
    String id = "b" + number;
    boolean encoded = number % ENCODED_EACH == 0;
    try (Client client = new Client(lab, vm)) {
      byte[] order = ("{\"run\":" + number + ",\"pattern\":\"" + "damask ".repeat(40) + "\"}").getBytes(StandardCharsets.UTF_8);
      byte[] body = encoded ? gzip(order) : order;
      sent.put(id, digest(body));
      lab.record.add("body-of", vm.name, id, body.length + " bytes, SHA-256 " + digest(body));
      double at =
          client.send(
              id, "POST", "/booking/press", DEADLINE_MILLIS, Integer.toString(number % 43),
              encoded && lab.trouble ? "Content-Encoding: gzip\r\n" : "", body);
      client.await(id, at, DEADLINE_MILLIS);
    } catch (IOException e) {
      lab.record.add("refused", vm.name, id, String.valueOf(e.getMessage()));
    }
  }

  private static byte[] gzip(byte[] bytes) throws IOException {
    ByteArrayOutputStream compressed = new ByteArrayOutputStream();
    try (GZIPOutputStream out = new GZIPOutputStream(compressed)) {
      out.write(bytes);
    }
    return compressed.toByteArray();
  }

  private static String digest(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes), 0, 8);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
