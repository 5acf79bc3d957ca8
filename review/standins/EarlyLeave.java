import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;

/**
 * Some clients give up a booking while its target is at work: they end their side of the
 * connection, as with shutdown(SHUT_WR), and read what still comes.
 */
final class EarlyLeave {
  private static final int TARGETS = 4;
  private static final int SLOTS = 9;
  private static final long WORK_MILLIS = 312;
  private static final double AIM_SECONDS = 0.3;
  private static final double TIMEOUT_SECONDS = 1.5;
  private static final long DEADLINE_MILLIS = 1_500;
  private static final long LEAVE_AFTER_MILLIS = 150;
  private static final int LEAVE_EACH = 5;
  private static final int REQUESTS = 200;
  private static final long INTERVAL_MILLIS = 40;
  private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

  private EarlyLeave() {}

  public static void main(String[] args) {
    Case.run(args, EarlyLeave::isBroken);
  }

  private static boolean isBroken(Lab lab) throws Exception {
    lab.store.put(
        "op",
        "config",
        Config.of(
            1,
            List.of("order-desk"),
            List.of(
                new Config.Route(
                    "booking", "non_idempotent", AIM_SECONDS, TIMEOUT_SECONDS, "order-desk"))));
    for (int i = 0; i < TARGETS; i++) {
      lab.target("127.0.2." + (i + 1), "i-" + i, "order-desk", "north-a", SLOTS, WORK_MILLIS);
    }
    lab.startVm("edge-1", "127.0.1.1", "north-a", "");
    lab.startVm("edge-2", "127.0.1.2", "north-b", "");
    lab.awaitReady(30);
    Lab.sleep(7_000);
    ConcurrentLinkedQueue<Client.Result> results = new ConcurrentLinkedQueue<>();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      int number = i;
      clients.add(Thread.ofVirtual().start(() -> book(lab, number, results)));
      Lab.sleep(INTERVAL_MILLIS);
    }
    for (Thread client : clients) {
      client.join();
    }
    Set<String> ran =
        lab.record.all("run").stream().map(Record.Entry::request).collect(Collectors.toSet());
    long refused =
        results.stream().filter(result -> PROMISES.contains(result.status())).count();
    long refusedAndRun =
        results.stream()
            .filter(result -> PROMISES.contains(result.status()) && ran.contains(result.id()))
            .count();
    lab.record.note(
        results.size() + " bookings, run: " + ran.size() + ", refused: " + refused);
    lab.record.note(
        "REFUSED: " + refusedAndRun + " were answered 429, 503, 408 or 421 and have run, allowed 0"
            + (refusedAndRun > 0 ? ": BROKEN" : ""));
    return refusedAndRun > 0;
  }

  private static void book(Lab lab, int number, ConcurrentLinkedQueue<Client.Result> results) {
    Lab.Vm vm = lab.vms.get(number % lab.vms.size());
    String id = "b" + number;
    try (Client client = new Client(lab, vm)) {
      double sent =
          client.send(
              id, "POST", "/booking/press", DEADLINE_MILLIS, Integer.toString(number % 43), new byte[4_000]);
      if (lab.trouble && number % LEAVE_EACH == 0) {
        Lab.sleep(LEAVE_AFTER_MILLIS);
        client.endSending(id);
      }
      results.add(client.await(id, sent, DEADLINE_MILLIS));
    } catch (IOException e) {
      lab.record.add("refused", vm.name, id, String.valueOf(e.getMessage()));
    }
  }
}
