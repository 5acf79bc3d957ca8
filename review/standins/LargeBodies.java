import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;

/** Some targets turn slow while clients send large bodies, well inside the limit on bodies. */
final class LargeBodies {
  private static final int TARGETS = 16;
  private static final int SLOTS = 5;
  private static final long WORK_MILLIS = 840;
  private static final long DEADLINE_MILLIS = 4_000;
  private static final double SLOW_SHARE = 0.4;
  private static final double SLOW_TIMES = 12;
  private static final long SLOW_MILLIS = 9_000;
  private static final int MIN_BODY_BYTES = 3_400_000;
  private static final int MAX_BODY_BYTES = 3_900_000;
  private static final long INTERVAL_MILLIS = 110;
  private static final long CALM_MILLIS = 6_000;
  private static final int ALLOWED_LOST = 3;
  private static final int ALLOWED_UNANSWERED = 7;
  private static final double TIMEOUT_SECONDS = 4;
  private static final double LATE_SECONDS = 0.5;

  private LargeBodies() {}

  public static void main(String[] args) {
    Case.run(args, LargeBodies::isBroken);
  }

  private static boolean isBroken(Lab lab) throws Exception {
    lab.store.put(
        "op",
        "config",
        Config.of(
            1,
            List.of("ledger", "reports"),
            List.of(
                new Config.Route("topup", "non_idempotent", 0.6, 4, "ledger"),
                new Config.Route("tariff", "idempotent", 1.5, 4, "reports"))));
    List<Target> targets = new ArrayList<>();
    for (int i = 0; i < TARGETS; i++) {
      targets.add(lab.target("127.0.2." + (i + 1), "i-" + i, "ledger", "north-a", SLOTS, WORK_MILLIS));
    }
    for (int i = 0; i < 2; i++) {
      lab.target("127.0.3." + (i + 1), "i-r" + i, "reports", "north-a", SLOTS, 40);
    }
    Lab.Vm vm = lab.startVm("edge-1", "127.0.1.1", "north-a", "");
    lab.awaitReady(30);
    Lab.sleep(4_000);
    ConcurrentLinkedQueue<Client.Result> results = new ConcurrentLinkedQueue<>();
    List<Thread> clients = new ArrayList<>();
    Random random = new Random(40);
    byte[] bytes = new byte[MAX_BODY_BYTES];
    random.nextBytes(bytes);
    long requests = (CALM_MILLIS + SLOW_MILLIS) / INTERVAL_MILLIS;
    for (int i = 0; i < requests; i++) {
      if (lab.trouble && i == CALM_MILLIS / INTERVAL_MILLIS) {
        lab.record.note("6 of 16 targets turn slow");
        targets.subList(0, (int) (SLOW_SHARE * TARGETS)).forEach(target -> target.slowDown(SLOW_TIMES));
      }
      String number = Integer.toString(i);
      byte[] body = java.util.Arrays.copyOf(bytes, random.nextInt(MIN_BODY_BYTES, MAX_BODY_BYTES));
      clients.add(Thread.ofVirtual().start(() -> topUp(lab, vm, number, body, results)));
      Lab.sleep(INTERVAL_MILLIS);
    }
    targets.forEach(target -> target.slowDown(1));
    for (Thread client : clients) {
      client.join();
    }
    Set<String> ran =
        lab.record.all("run").stream().map(Record.Entry::request).collect(Collectors.toSet());
    long lost =
        results.stream()
            .filter(result -> result.end() == Client.End.CLOSED && ran.contains(result.id()))
            .count();
    lab.record.note(
        results.size() + " top-ups were sent on kept connections, "
            + results.stream().filter(result -> result.end() == Client.End.ANSWERED).count()
            + " were answered");
    lab.record.note("the entry VM " + (vm.isAlive() ? "still runs" : "has ended by itself"));
    boolean lostBroken = lost > ALLOWED_LOST;
    lab.record.note(
        "LOST: " + lost + " were run by a target and their connection ended without an answer, allowed "
            + ALLOWED_LOST + (lostBroken ? ": BROKEN" : ""));
    long lasting =
        results.stream().filter(result -> lasted(result) >= TIMEOUT_SECONDS).count();
    long unanswered =
        results.stream()
            .filter(result -> result.end() == Client.End.NO_ANSWER)
            .filter(result -> lasted(result) >= TIMEOUT_SECONDS + LATE_SECONDS)
            .count();
    boolean configBroken = unanswered > ALLOWED_UNANSWERED && 4 * unanswered > lasting;
    lab.record.note(
        "CONFIG: " + lasting + " lasted longer than the timeout of their route; " + unanswered
            + " of these had no answer half a second after it, allowed " + ALLOWED_UNANSWERED
            + " or a quarter" + (configBroken ? ": BROKEN" : ""));
    return lostBroken || configBroken;
  }

  private static double lasted(Client.Result result) {
    return result.endedAtSeconds() - result.sentAtSeconds();
  }

  /** Asks for a tariff, and then sends a top-up on the same connection. */
  private static void topUp(
      Lab lab, Lab.Vm vm, String number, byte[] body, ConcurrentLinkedQueue<Client.Result> results) {
    try (Client client = new Client(lab, vm)) {
      String key = Integer.toString(Integer.parseInt(number) % 43);
      Client.Result first =
          client.call("q" + number, "GET", "/tariff/1", DEADLINE_MILLIS, DEADLINE_MILLIS + 1_000, key, new byte[0]);
      if (first.end() == Client.End.ANSWERED) {
        results.add(
            client.call("t" + number, "POST", "/topup/t", DEADLINE_MILLIS, DEADLINE_MILLIS + 1_000, key, body));
      }
    } catch (java.io.IOException e) {
      lab.record.add("refused", vm.name, "q" + number, String.valueOf(e.getMessage()));
    }
  }
}
