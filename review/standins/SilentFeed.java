import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;

/**
 * The open connection on which an entry VM waits for changes of the configuration goes silent,
 * without a reset. New connections to the store work, and so do its other connections. Then a
 * version moves the route to another service.
 */
final class SilentFeed {
  private static final int TARGETS_OF_EACH = 4;
  private static final int SLOTS = 9;
  private static final long WORK_MILLIS = 240;
  private static final double AIM_SECONDS = 0.3;
  private static final double TIMEOUT_SECONDS = 1.2;
  private static final long DEADLINE_MILLIS = 1_200;
  private static final long INTERVAL_MILLIS = 20;
  private static final long CALM_MILLIS = 3_000;
  private static final long CHANGED_AFTER_MILLIS = 300;
  private static final long OBSERVED_MILLIS = 9_000;
  private static final double CONFIG_APPLY_SECONDS = 2.5;
  private static final double CONTACT_SECONDS = 4;

  private SilentFeed() {}

  public static void main(String[] args) {
    Case.run(args, SilentFeed::isBroken);
  }

  private static boolean isBroken(Lab lab) throws Exception {
    lab.store.put("op", "config", config(1, "desk"));
    SilenceProxy proxy = new SilenceProxy("127.0.4.1", lab.store.address(), "table=op&");
    lab.closeables.add(proxy);
    for (int i = 1; i <= TARGETS_OF_EACH; i++) {
      lab.target("127.0.2." + i, "i-d" + i, "desk", "north-a", SLOTS, WORK_MILLIS);
      lab.target("127.0.3." + i, "i-a" + i, "annex", "north-a", SLOTS, WORK_MILLIS);
    }
    Lab.Vm vm = lab.startVm("edge-1", "127.0.1.1", "north-a", "", proxy.address());
    lab.awaitReady(30);
    Lab.sleep(7_000);
    ConcurrentLinkedQueue<Client.Result> results = new ConcurrentLinkedQueue<>();
    Set<Thread> clients = ConcurrentHashMap.newKeySet();
    Thread traffic = Thread.ofVirtual().start(() -> send(lab, vm, results, clients));
    Lab.sleep(CALM_MILLIS);
    double silentAt = lab.record.now();
    if (lab.trouble) {
      proxy.silenceNextCall();
      silentAt = lab.record.now();
      lab.record.note("the connection on which the VM waits for changes of op has gone silent");
    }
    Lab.sleep(CHANGED_AFTER_MILLIS);
    lab.store.put("op", "config", config(2, "annex"));
    double acknowledgedAt = lab.record.now();
    lab.record.note("the store acknowledges r2, which moves the route from desk to annex");
    Lab.sleep(OBSERVED_MILLIS);
    traffic.interrupt();
    traffic.join();
    for (Thread client : clients) {
      client.join();
    }
    double boundAt =
        Math.max(acknowledgedAt + CONFIG_APPLY_SECONDS, lab.trouble ? silentAt + CONTACT_SECONDS : 0);
    Set<String> ranAtDesk =
        lab.record.all("run").stream()
            .filter(entry -> entry.where().startsWith("i-d"))
            .map(Record.Entry::request)
            .collect(Collectors.toSet());
    List<Client.Result> late =
        results.stream()
            .filter(result -> result.sentAtSeconds() > boundAt && ranAtDesk.contains(result.id()))
            .toList();
    lab.record.note(
        results.size() + " requests, answered 200: "
            + results.stream().filter(result -> result.status() == 200).count());
    lab.record.note(
        String.format(
            java.util.Locale.ROOT,
            "CONFIG: %d requests that were sent later than %.3f s were run by the old service (the last one "
                + "sent at %.3f s), allowed 0%s",
            late.size(),
            boundAt,
            late.stream().mapToDouble(Client.Result::sentAtSeconds).max().orElse(0),
            late.isEmpty() ? "" : ": BROKEN"));
    return !late.isEmpty();
  }

  private static String config(int version, String service) {
    return Config.of(
        version,
        List.of("desk", "annex"),
        List.of(
            new Config.Route("lookup", "idempotent", AIM_SECONDS, TIMEOUT_SECONDS, service)));
  }

  /** Sends requests at a steady rate until the thread is interrupted. */
  private static void send(
      Lab lab, Lab.Vm vm, ConcurrentLinkedQueue<Client.Result> results, Set<Thread> clients) {
    List<String> ids = new ArrayList<>();
    while (!Thread.currentThread().isInterrupted()) {
      String id = "q" + ids.size();
      ids.add(id);
      clients.add(Thread.ofVirtual().start(() -> call(lab, vm, id, results)));
      try {
        Thread.sleep(INTERVAL_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void call(
      Lab lab, Lab.Vm vm, String id, ConcurrentLinkedQueue<Client.Result> results) {
    try (Client client = new Client(lab, vm)) {
      results.add(
          client.call(id, "GET", "/lookup/roll", DEADLINE_MILLIS, DEADLINE_MILLIS, id, new byte[0]));
    } catch (IOException e) {
      lab.record.add("refused", vm.name, id, String.valueOf(e.getMessage()));
    }
  }
}
