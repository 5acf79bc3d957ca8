import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * At high load, a version moves a route from one service to another, and declares the first one no
 * longer.
 */
final class DroppedService {
  private static final int TARGETS_OF_EACH = 4;
  private static final int SLOTS = 6;
  private static final long WORK_MILLIS = 450;
  private static final double AIM_SECONDS = 1.5;
  private static final double TIMEOUT_SECONDS = 2.5;
  private static final long DEADLINE_MILLIS = 6_000;
  private static final long INTERVAL_MILLIS = 14;
  private static final int REQUESTS = 700;
  private static final int CHANGED_AFTER = 350;
  private static final double LATE_SECONDS = 0.5;
  private static final int ALLOWED_UNANSWERED = 7;

  private DroppedService() {}

  public static void main(String[] args) {
    Case.run(args, DroppedService::isBroken);
  }

  private static boolean isBroken(Lab lab) throws Exception {
    lab.store.put("op", "config", config(1, List.of("desk", "annex"), "desk"));
    for (int i = 0; i < TARGETS_OF_EACH; i++) {
      lab.target("127.0.2." + (i + 1), "i-d" + i, "desk", "north-a", SLOTS, WORK_MILLIS);
      lab.target("127.0.3." + (i + 1), "i-a" + i, "annex", "north-a", SLOTS, WORK_MILLIS);
    }
    lab.startVm("edge-1", "127.0.1.1", "north-a", "");
    lab.startVm("edge-2", "127.0.1.2", "north-b", "");
    lab.awaitReady(30);
    Lab.sleep(7_000);
    ConcurrentLinkedQueue<Client.Result> results = new ConcurrentLinkedQueue<>();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      if (lab.trouble && i == CHANGED_AFTER) {
        lab.record.note("the store acknowledges r2: the route goes to annex, desk is gone");
        lab.store.put("op", "config", config(2, List.of("annex"), "annex"));
      }
      int number = i;
      clients.add(Thread.ofVirtual().start(() -> reserve(lab, number, results)));
      Lab.sleep(INTERVAL_MILLIS);
    }
    for (Thread client : clients) {
      client.join();
    }
    long lasting = results.stream().filter(result -> lasted(result) >= TIMEOUT_SECONDS).count();
    long unanswered =
        results.stream()
            .filter(result -> result.end() == Client.End.NO_ANSWER)
            .filter(result -> lasted(result) >= TIMEOUT_SECONDS + LATE_SECONDS)
            .count();
    lab.record.note(
        results.size() + " requests, answered: "
            + results.stream().filter(result -> result.end() == Client.End.ANSWERED).count());
    boolean broken =
        unanswered > ALLOWED_UNANSWERED && 4 * unanswered > lasting && 2 * unanswered > lasting;
    lab.record.note(
        "CONFIG: " + lasting + " lasted longer than the timeout of their route; " + unanswered
            + " of these had no answer half a second after it, allowed " + ALLOWED_UNANSWERED
            + " or a quarter" + (broken ? ": BROKEN" : ""));
    return broken;
  }

  private static double lasted(Client.Result result) {
    return result.endedAtSeconds() - result.sentAtSeconds();
  }

  private static String config(int version, List<String> services, String service) {
    return Config.of(
        version,
        services,
        List.of(
            new Config.Route("reserve", "non_idempotent", AIM_SECONDS, TIMEOUT_SECONDS, service)));
  }

  private static void reserve(Lab lab, int number, ConcurrentLinkedQueue<Client.Result> results) {
    Lab.Vm vm = lab.vms.get(number % lab.vms.size());
    try (Client client = new Client(lab, vm)) {
      results.add(
          client.call(
              "r" + number,
              "POST",
              "/reserve/pallet",
              DEADLINE_MILLIS,
              DEADLINE_MILLIS,
              Integer.toString(number % 87),
              new byte[300]));
    } catch (IOException e) {
      lab.record.add("refused", vm.name, "r" + number, String.valueOf(e.getMessage()));
    }
  }
}
