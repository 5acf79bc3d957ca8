import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;

/**
 * The connection over which one of three entry VMs waits for the operator's changes goes silent, and
 * then a version drops a route.
 */
final class SilentFeed {
  private static final int TARGETS = 4;
  private static final int SLOTS = 9;
  private static final long WORK_MILLIS = 60;
  private static final double CONTACT_SECONDS = 4;
  private static final double CONFIG_APPLY_SECONDS = 2.5;

  /** From the silence to the version that drops the route. */
  private static final long CHANGE_AFTER_MILLIS = 1_300;

  private static final long PROBED_MILLIS = 8_000;
  private static final long INTERVAL_MILLIS = 60;

  private SilentFeed() {}

  public static void main(String[] args) {
    Case.run(args, SilentFeed::isBroken);
  }

  private static boolean isBroken(Lab lab) throws Exception {
    lab.store.put("op", "config", config(1, true, 1.2));
    for (int i = 0; i < TARGETS; i++) {
      lab.target("127.0.2." + (i + 1), "i-" + i, "order-desk", "north-a", SLOTS, WORK_MILLIS);
    }
    List<SilenceableProxy> proxies = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      SilenceableProxy proxy = new SilenceableProxy("127.0.0.1", lab.store.address());
      proxies.add(proxy);
      lab.closeables.add(proxy);
      lab.startVm(
          "edge-" + (i + 1), "127.0.1." + (i + 1), i < 2 ? "north-a" : "north-b", "", proxy.address());
    }
    lab.awaitReady(30);
    Lab.sleep(12_000);
    lab.record.note("the store acknowledges r2, which changes a time-out");
    lab.store.put("op", "config", config(2, true, 1.3));
    Lab.sleep(400);
    int reader = -1;
    for (int i = 0; i < proxies.size(); i++) {
      double age = proxies.get(i).feedAgeSeconds();
      lab.record.note(lab.vms.get(i).name + " waits for the operator's changes since " + age + " s");
      reader = reader < 0 && age >= 0 && age < 1 ? i : reader;
    }
    if (reader < 0) {
      throw new IOException("no entry VM waits for the operator's changes");
    }
    Lab.Vm silenced = lab.vms.get(reader);
    double silentAt = lab.record.now();
    if (lab.trouble) {
      lab.record.note(
          proxies.get(reader).silenceFeed() + " connections of " + silenced.name + " to the store go silent");
    }
    ConcurrentLinkedQueue<Client.Result> results = new ConcurrentLinkedQueue<>();
    Map<String, String> vmOf = new java.util.concurrent.ConcurrentHashMap<>();
    List<Thread> clients = new ArrayList<>();
    double acknowledgedAt = Double.MAX_VALUE;
    for (int i = 0; i < PROBED_MILLIS / INTERVAL_MILLIS; i++) {
      if (acknowledgedAt == Double.MAX_VALUE
          && lab.record.now() >= silentAt + CHANGE_AFTER_MILLIS / 1_000.0) {
        lab.store.put("op", "config", config(3, false, 1.3));
        acknowledgedAt = lab.record.now();
        lab.record.note("the store acknowledges r3, which drops the route /offer/");
      }
      for (Lab.Vm vm : lab.vms) {
        String id = vm.name + "-" + i;
        vmOf.put(id, vm.name);
        clients.add(Thread.ofVirtual().start(() -> ask(lab, vm, id, results)));
      }
      Lab.sleep(INTERVAL_MILLIS);
    }
    for (Thread client : clients) {
      client.join();
    }
    Set<String> ran =
        lab.record.all("run").stream().map(Record.Entry::request).collect(Collectors.toSet());
    double judgedFrom =
        Math.max(acknowledgedAt + CONFIG_APPLY_SECONDS, silentAt + CONTACT_SECONDS);
    Map<String, Long> stale =
        results.stream()
            .filter(result -> result.sentAtSeconds() > judgedFrom && ran.contains(result.id()))
            .collect(Collectors.groupingBy(result -> vmOf.get(result.id()), Collectors.counting()));
    lab.record.note(
        "judged are requests on /offer/ sent later than " + judgedFrom + " s: "
            + (acknowledgedAt - silentAt) + " s after the silence r3 was acknowledged");
    lab.record.note(
        "CONFIG: run with the dropped route, by the entry VM that took them: " + stale + ", allowed none"
            + (stale.isEmpty() ? "" : ": BROKEN"));
    return !stale.isEmpty();
  }

  private static String config(int version, boolean withOffers, double timeoutSeconds) {
    List<Config.Route> routes = new ArrayList<>();
    routes.add(new Config.Route("sample", "idempotent", 0.3, timeoutSeconds, "order-desk"));
    if (withOffers) {
      routes.add(new Config.Route("offer", "non_idempotent", 0.3, 1.5, "order-desk"));
    }
    return Config.of(version, List.of("order-desk"), routes);
  }

  private static void ask(
      Lab lab, Lab.Vm vm, String id, ConcurrentLinkedQueue<Client.Result> results) {
    try (Client client = new Client(lab, vm)) {
      results.add(client.call(id, "POST", "/offer/1", 1_500, 2_000, id, new byte[40]));
    } catch (IOException e) {
      lab.record.add("refused", vm.name, id, String.valueOf(e.getMessage()));
    }
  }
}
