package org.mustardstage.core.placement;

import static org.mustardstage.core.placement.PlacementFixtures.NANOS_PER_MILLI;
import static org.mustardstage.core.placement.PlacementFixtures.NANOS_PER_SECOND;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.placement.LoadSimulation.Disturbance;
import org.mustardstage.core.placement.LoadSimulation.FakeRequest;

/** Counts what became of the requests of a {@link LoadSimulation}. */
final class LoadTally {
  private static final int MIN_WINDOW_REQUESTS = 100;

  /**
   * The results of a simulation.
   *
   * @param weightedSuccessShare the weighted share of requests that met the latency objective; late
   *     responses count 0.2
   * @param servedShare the share of requests with a response before the deadline
   * @param rejectedShare the share of requests without one
   * @param warmShare the share of started requests whose affinity key was warm
   * @param meanQueueMillis the mean time that started requests were queued at the endpoint
   * @param maxRegionShift the largest share of a region's requests that ran in another region than
   *     in the two seconds before
   * @param refusedShare the rejections by endpoints, as a share of all requests
   * @param inTime the shares of requests that met the objective, by rule
   * @param worstTenants the share of the tenth of the tenants with the lowest shares
   * @param otherTenants the share of all tenants but the hot one while they are disturbed
   * @param worstRegion the share of the worst region
   * @param worstWindow the share of the worst two seconds
   */
  record Summary(
      double weightedSuccessShare,
      double servedShare,
      double rejectedShare,
      double warmShare,
      double meanQueueMillis,
      double maxRegionShift,
      double refusedShare,
      Map<String, Double> inTime,
      double worstTenants,
      double otherTenants,
      double worstRegion,
      double worstWindow) {
    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "success %.3f served %.3f warm %.3f queue %.1f ms shift %.3f refused %.4f in time %s"
              + " worst tenants %.3f others %.3f region %.3f window %.3f",
          weightedSuccessShare,
          servedShare,
          warmShare,
          meanQueueMillis,
          maxRegionShift,
          refusedShare,
          inTime,
          worstTenants,
          otherTenants,
          worstRegion,
          worstWindow);
    }
  }

  /** A request that was sent to an endpoint. */
  private record SentRequest(long atNanos, RegionId callerRegion, RegionId endpointRegion) {}

  /** Counts requests and those that met the objective. */
  private static final class Count {
    private int requests;
    private int inTime;

    double share() {
      return inTime / (double) requests;
    }
  }

  private final List<SentRequest> sentRequests = new ArrayList<>();
  private final Map<String, Map<String, Count>> counts = new HashMap<>();
  private double totalWeight;
  private double achievedWeight;
  private long requestCount;
  private long responseCount;
  private long startedCount;
  private long warmStartCount;
  private double totalQueueNanos;
  private int refusals;

  private List<Count> countsOf(FakeRequest request) {
    List<Count> found = new ArrayList<>();
    found.add(count("rule", request.type().rule().name()));
    found.add(count("region", request.region().value()));
    found.add(count("window", "" + request.arrivalNanos() / (2 * NANOS_PER_SECOND)));
    request.tenant().ifPresent(tenant -> found.add(count("tenant", tenant.name().value())));
    if (request.arrivalNanos() >= Disturbance.FROM_NANOS && request.tenant().isPresent()) {
      boolean hot = request.tenant().get().name().equals(LoadSimulation.HOT_TENANT_NAME);
      found.add(count("disturbed", hot ? "hot" : "others"));
    }
    return found;
  }

  private Count count(String kind, String key) {
    return counts
        .computeIfAbsent(kind, k -> new TreeMap<>())
        .computeIfAbsent(key, k -> new Count());
  }

  void recordArrival(FakeRequest request) {
    requestCount++;
    totalWeight += request.type().weight();
    countsOf(request).forEach(count -> count.requests++);
  }

  void recordSent(
      long nowNanos, FakeRequest request, RegionId callerRegion, RegionId endpointRegion) {
    sentRequests.add(new SentRequest(nowNanos, callerRegion, endpointRegion));
  }

  void recordRefusal() {
    refusals++;
  }

  void recordStart(boolean warm, long queueNanos) {
    startedCount++;
    warmStartCount += warm ? 1 : 0;
    totalQueueNanos += queueNanos;
  }

  void recordResponse(long nowNanos, FakeRequest request) {
    if (nowNanos > request.deadlineNanos()) {
      return;
    }
    responseCount++;
    boolean inTime =
        nowNanos - request.arrivalNanos()
            <= request.type().rule().latencyObjectiveMillis() * NANOS_PER_MILLI;
    achievedWeight += request.type().weight() * (inTime ? 1 : 0.2);
    countsOf(request).forEach(count -> count.inTime += inTime ? 1 : 0);
  }

  Summary summary(Set<RegionId> regions, long endNanos) {
    Map<String, Double> byRule = new TreeMap<>();
    counts.get("rule").forEach((rule, count) -> byRule.put(rule, count.share()));
    return new Summary(
        achievedWeight / totalWeight,
        responseCount / (double) requestCount,
        1 - responseCount / (double) requestCount,
        warmStartCount / (double) startedCount,
        totalQueueNanos / startedCount / NANOS_PER_MILLI,
        maxRegionShift(regions, endNanos),
        refusals / (double) requestCount,
        byRule,
        worst("tenant", 0.1),
        counts.getOrDefault("disturbed", Map.of()).getOrDefault("others", new Count()).share(),
        worst("region", 0),
        worst("window", 0));
  }

  /** Returns the mean share of the worst {@code part} of the counts with enough requests. */
  private double worst(String kind, double part) {
    double[] shares =
        counts.getOrDefault(kind, Map.of()).values().stream()
            .filter(count -> count.requests >= 20)
            .mapToDouble(Count::share)
            .sorted()
            .toArray();
    int number = Math.min(shares.length, (int) Math.max(1, part * shares.length));
    double sum = 0;
    for (int i = 0; i < number; i++) {
      sum += shares[i];
    }
    return sum / number;
  }

  private double maxRegionShift(Set<RegionId> regions, long endNanos) {
    double max = 0;
    for (RegionId region : regions) {
      for (long from = NANOS_PER_SECOND; from < endNanos; from += NANOS_PER_SECOND / 4) {
        Map<RegionId, Double> before = shares(region, from);
        Map<RegionId, Double> after = shares(region, from + 2 * NANOS_PER_SECOND);
        if (before.isEmpty() || after.isEmpty()) {
          continue;
        }
        double shift = 0;
        for (RegionId to : regions) {
          shift += Math.abs(after.getOrDefault(to, 0.0) - before.getOrDefault(to, 0.0)) / 2;
        }
        max = Math.max(max, shift);
      }
    }
    return max;
  }

  /**
   * Returns how the requests of a region's callers were divided among regions in a window of two
   * seconds, or an empty map if there were too few requests.
   */
  private Map<RegionId, Double> shares(RegionId callerRegion, long fromNanos) {
    List<SentRequest> window =
        sentRequests.stream()
            .filter(s -> s.callerRegion().equals(callerRegion))
            .filter(s -> s.atNanos() >= fromNanos && s.atNanos() < fromNanos + 2 * NANOS_PER_SECOND)
            .toList();
    Map<RegionId, Double> shares = new HashMap<>();
    if (window.size() >= MIN_WINDOW_REQUESTS) {
      window.forEach(s -> shares.merge(s.endpointRegion(), 1.0 / window.size(), Double::sum));
    }
    return shares;
  }
}
