package org.mustardstage.standins.bench.limits;

import com.google.errorprone.annotations.FormatMethod;
import com.google.errorprone.annotations.FormatString;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Compares permits with simpler dispatch policies in virtual time, at the sizes of one zone of the
 * cooperative deployment, and prints Markdown tables.
 */
public final class LimitsBench {
  private static final double[] OFFERED_LOADS = {0.5, 0.8, 0.95};
  private static final int[] LIMIT_COUNTS = {12, 7_800};

  private LimitsBench() {}

  /** Runs all measurements. */
  public static void main(String[] args) {
    printSteadyLoad();
    printVmChanges();
    printAcquireTimes();
  }

  private static Map<String, SteadyLoadRun.PolicyFactory> policyFactories() {
    Map<String, SteadyLoadRun.PolicyFactory> policies = new LinkedHashMap<>();
    policies.put("permits", PermitPolicy::new);
    policies.put("fixed slices", StaticPartitionPolicy::new);
    for (BaselinePolicy.Algorithm algorithm : BaselinePolicy.Algorithm.values()) {
      String name = algorithm.name().toLowerCase(Locale.ROOT).replace('_', ' ');
      policies.put(
          name,
          (scheduler, workload, endpoints, gauge) ->
              new BaselinePolicy(scheduler, workload, endpoints, algorithm));
    }
    return policies;
  }

  private static void printSteadyLoad() {
    Workload sizes = Workload.cooperative(1);
    print(
        "4 entry VMs, %d endpoints of %d slots, mean service time 50 ms, 60 s each%n%n",
        sizes.endpoints(), sizes.slotsPerEndpoint());
    print(
        "| load | policy | most at an endpoint (limit %d) | idle while requests wait"
            + " | p50 ms | p99 ms | messages per request | not granted |%n",
        sizes.slotsPerEndpoint());
    print("| --- | --- | --- | --- | --- | --- | --- | --- |%n");
    for (double load : OFFERED_LOADS) {
      policyFactories().forEach((name, factory) -> printSteadyLoad(load, name, factory));
    }
  }

  private static void printSteadyLoad(
      double load, String name, SteadyLoadRun.PolicyFactory factory) {
    SteadyLoadRun.Result result = new SteadyLoadRun(Workload.cooperative(load)).run(factory);
    print(
        "| %.0f%% | %s | %d | %.2f%% | %.1f | %.1f | %.2f | %d |%n",
        load * 100,
        name,
        result.maxRequestsAtEndpoint(),
        result.idleWhileWaitingShare() * 100,
        result.p50Millis(),
        result.p99Millis(),
        result.messagesPerRequest(),
        result.rejectedRequests());
  }

  private static void printVmChanges() {
    print(
        "%n130%% load on 108 slots, one of 4 entry VMs ends; means over 1 s; full use is 97%% of before%n%n");
    print(
        "| change | most at an endpoint | slots used before | fewest | full use after s"
            + " | mean slots lost until then | handover s |%n");
    print("| --- | --- | --- | --- | --- | --- | --- |%n");
    for (VmChangeRun.Change change : VmChangeRun.Change.values()) {
      VmChangeRun.Result result = new VmChangeRun().run(change);
      print(
          "| %s | %d | %.1f | %.1f | %.2f | %.1f | %.2f |%n",
          change.name().toLowerCase(Locale.ROOT).replace('_', ' '),
          result.maxRequestsAtEndpoint(),
          result.slotsInUseBefore(),
          result.minSlotsInUse(),
          result.recoverySeconds(),
          result.meanSlotsLost(),
          result.handoverSeconds());
    }
  }

  private static void printAcquireTimes() {
    print("%n| limits known | ns for a grant and its release |%n| --- | --- |%n");
    for (int count : LIMIT_COUNTS) {
      print("| %d | %.0f |%n", count, AcquireBenchmark.nanosPerAcquire(count));
    }
  }

  @FormatMethod
  private static void print(@FormatString String format, Object... arguments) {
    System.out.printf(Locale.ROOT, format, arguments);
  }
}
