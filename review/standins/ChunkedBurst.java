import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Many users come at once, and send bookings whose bodies come in chunks. */
final class ChunkedBurst {
  private static final int TARGETS = 16;
  private static final int SLOTS = 5;
  private static final long WORK_MILLIS = 840;
  private static final long DEADLINE_MILLIS = 4_000;
  private static final int MIN_BODY_BYTES = 3_800_000;
  private static final int MAX_BODY_BYTES = 4_200_000;

  /** A client sends a chunk each time it has so many bytes, and the last one when it sees the end. */
  private static final int CHUNK_BYTES = 400_000;

  private static final long CHUNK_MILLIS = 90;
  private static final long CALM_MILLIS = 6_000;
  private static final long BURST_MILLIS = 3_000;
  private static final double BURST_TIMES = 1.7;
  private static final long INTERVAL_MILLIS = 333;

  private ChunkedBurst() {}

  /** A target that notes the body of each request that it runs. */
  private static final class Ledger extends Target {
    private final Map<String, String> bodies;

    Ledger(Lab lab, int number, Map<String, String> bodies) throws IOException {
      super(
          lab.store, lab.record, "127.0.2." + number, "i-" + number, "ledger", "north-a", SLOTS, WORK_MILLIS);
      this.bodies = bodies;
    }

    @Override
    void run(Socket socket, OutputStream out, Http.Message request, String requestId)
        throws IOException, InterruptedException {
      bodies.put(requestId, describe(request.body()));
      super.run(socket, out, request, requestId);
    }
  }

  private static String describe(byte[] body) {
    return body.length + " bytes, hash " + Integer.toHexString(Arrays.hashCode(body));
  }

  public static void main(String[] args) {
    Case.run(args, ChunkedBurst::isBroken);
  }

  private static boolean isBroken(Lab lab) throws Exception {
    lab.store.put(
        "op",
        "config",
        Config.of(
            1, List.of("ledger"), List.of(new Config.Route("topup", "non_idempotent", 0.6, 4, "ledger"))));
    Map<String, String> ran = new ConcurrentHashMap<>();
    for (int i = 1; i <= TARGETS; i++) {
      lab.closeables.add(new Ledger(lab, i, ran));
    }
    Lab.Vm vm = lab.startVm("edge-1", "127.0.1.1", "north-a", "");
    lab.awaitReady(30);
    Lab.sleep(4_000);
    Map<String, String> sent = new ConcurrentHashMap<>();
    Map<String, Client.Result> results = new ConcurrentHashMap<>();
    List<Thread> clients = new ArrayList<>();
    Random random = new Random(7);
    AtomicInteger numbers = new AtomicInteger();
    long begun = System.nanoTime();
    long elapsed = 0;
    while (elapsed < CALM_MILLIS + BURST_MILLIS + CALM_MILLIS) {
      byte[] body = new byte[random.nextInt(MIN_BODY_BYTES, MAX_BODY_BYTES)];
      random.nextBytes(body);
      String id = "t" + numbers.incrementAndGet();
      sent.put(id, describe(body));
      clients.add(Thread.ofVirtual().start(() -> results.put(id, topUp(lab, vm, id, body))));
      boolean burst = lab.trouble && elapsed >= CALM_MILLIS && elapsed < CALM_MILLIS + BURST_MILLIS;
      Lab.sleep((long) (INTERVAL_MILLIS / (burst ? BURST_TIMES : 1)));
      elapsed = (System.nanoTime() - begun) / 1_000_000;
    }
    for (Thread client : clients) {
      client.join();
    }
    int changed = 0;
    for (Map.Entry<String, String> each : ran.entrySet()) {
      String expected = sent.get(each.getKey());
      if (!each.getValue().equals(expected)) {
        changed++;
        Client.Result result = results.get(each.getKey());
        lab.record.add(
            "changed", "-", each.getKey(),
            "sent " + expected + "; run with " + each.getValue() + "; answered " + result.end() + " " + result.status());
      }
    }
    lab.record.note(
        sent.size() + " top-ups, run: " + ran.size() + ", answered 200: "
            + results.values().stream().filter(result -> result.status() == 200).count()
            + ", without an answer: "
            + results.values().stream().filter(result -> result.end() != Client.End.ANSWERED).count());
    lab.record.note(
        "UNASKED: " + changed + " ran with another body than their client sent, allowed 0"
            + (changed > 0 ? ": BROKEN" : ""));
    return changed > 0;
  }

  /** Sends a top-up whose body comes in chunks, as its client produces it. */
  private static Client.Result topUp(Lab lab, Lab.Vm vm, String id, byte[] body) {
    double sent = lab.record.now();
    try (Client client = new Client(lab, vm)) {
      client.sendHead(
          id, "POST", "/topup/" + id, DEADLINE_MILLIS, id, "Transfer-Encoding: chunked\r\n");
      for (int from = 0; from < body.length; from += CHUNK_BYTES) {
        Lab.sleep(CHUNK_MILLIS);
        client.sendChunk(Arrays.copyOfRange(body, from, Math.min(body.length, from + CHUNK_BYTES)));
      }
      Lab.sleep(CHUNK_MILLIS);
      client.sendChunk(new byte[0]);
      sent = lab.record.add("sent", vm.name, id, "POST /topup/ " + describe(body)).atSeconds();
      return client.await(id, sent, DEADLINE_MILLIS + 1_000);
    } catch (IOException e) {
      lab.record.add("closed", vm.name, id, String.valueOf(e.getMessage()));
      return new Client.Result(id, Client.End.CLOSED, 0, sent, lab.record.now());
    }
  }
}
