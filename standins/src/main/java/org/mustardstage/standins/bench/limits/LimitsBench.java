package org.mustardstage.standins.bench.limits;

import com.google.errorprone.annotations.FormatMethod;
import com.google.errorprone.annotations.FormatString;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Measures the permits against baselines in virtual time, at the sizes of one zone of the
 * cooperative, and prints tables in Markdown.
 */
public final class LimitsBench {
  private static final double[] LOADS = {0.5, 0.8, 0.95};
  private static final int[] LIMIT_COUNTS = {12, 7_800};

  private LimitsBench() {}

  /** Runs all measurements. */
  public static void main(String[] args) {
    steady();
    changes();
    grants();
  }

  private static Map<String, SteadyRun.PolicyFactory> policies() {
    Map<String, SteadyRun.PolicyFactory> policies = new LinkedHashMap<>();
    policies.put("permits", PermitPolicy::new);
    policies.put("fixed slices", FixedSlices::new);
    for (Baseline.Choice choice : Baseline.Choice.values()) {
      String name = choice.name().toLowerCase(Locale.ROOT).replace('_', ' ');
      policies.put(
          name,
          (time, workload, endpoints, gauge) -> new Baseline(time, workload, endpoints, choice));
    }
    return policies;
  }

  private static void steady() {
    Workload sizes = Workload.cooperative(1);
    print(
        "4 entry VMs, %d endpoints of %d slots, mean service time 50 ms, 60 s each%n%n",
        sizes.endpoints(), sizes.slots());
    print(
        "| load | policy | most at an endpoint (limit %d) | idle while requests wait"
            + " | p50 ms | p99 ms | messages per request | not granted |%n",
        sizes.slots());
    print("| --- | --- | --- | --- | --- | --- | --- | --- |%n");
    for (double load : LOADS) {
      policies().forEach((name, factory) -> steady(load, name, factory));
    }
  }

  private static void steady(double load, String name, SteadyRun.PolicyFactory factory) {
    SteadyRun.Result result = new SteadyRun(Workload.cooperative(load)).run(factory);
    print(
        "| %.0f%% | %s | %d | %.2f%% | %.1f | %.1f | %.2f | %d |%n",
        load * 100,
        name,
        result.mostAtAnEndpoint(),
        result.idleWhileWaitingShare() * 100,
        result.p50Millis(),
        result.p99Millis(),
        result.messagesPerRequest(),
        result.refused());
  }

  private static void changes() {
    print(
        "%n130%% load on 108 slots, one of 4 entry VMs ends; means over 1 s; full use is 97%% of before%n%n");
    print(
        "| change | most at an endpoint | slots used before | fewest | full use after s"
            + " | mean slots lost until then | handover s |%n");
    print("| --- | --- | --- | --- | --- | --- | --- |%n");
    for (ChangeRun.Change change : ChangeRun.Change.values()) {
      ChangeRun.Result result = new ChangeRun().run(change);
      print(
          "| %s | %d | %.1f | %.1f | %.2f | %.1f | %.2f |%n",
          change.name().toLowerCase(Locale.ROOT).replace('_', ' '),
          result.mostAtAnEndpoint(),
          result.slotsUsedBefore(),
          result.fewestSlotsUsed(),
          result.fullUseAfterSeconds(),
          result.meanSlotsLost(),
          result.handoverSeconds());
    }
  }

  private static void grants() {
    print("%n| limits known | ns for a grant and its release |%n| --- | --- |%n");
    for (int count : LIMIT_COUNTS) {
      print("| %d | %.0f |%n", count, GrantTimer.nanosPerGrant(count));
    }
  }

  @FormatMethod
  private static void print(@FormatString String format, Object... arguments) {
    System.out.printf(Locale.ROOT, format, arguments);
  }
}
