package org.mustardstage.standins.bench.limits;

import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Sends each request at once, without a concurrency limit. Each entry VM selects the endpoint from
 * its own state only.
 */
final class BaselinePolicy implements DispatchPolicy {
  private final VirtualTimeScheduler scheduler;
  private final Workload workload;
  private final List<EndpointModel> endpoints;
  private final Algorithm algorithm;
  private final RandomGenerator random = new SplittableRandom(5);
  private final int[][] requestsInFlight;
  private final int[] nextEndpoints;

  /** How an entry VM selects the endpoint. */
  enum Algorithm {
    ROUND_ROBIN,
    RANDOM,
    POWER_OF_TWO_CHOICES,
    LEAST_LOCAL_LOAD
  }

  BaselinePolicy(
      VirtualTimeScheduler scheduler,
      Workload workload,
      List<EndpointModel> endpoints,
      Algorithm algorithm) {
    this.scheduler = scheduler;
    this.workload = workload;
    this.endpoints = endpoints;
    this.algorithm = algorithm;
    this.requestsInFlight = new int[workload.entryVms()][workload.endpoints()];
    this.nextEndpoints = new int[workload.entryVms()];
    for (int vm = 0; vm < nextEndpoints.length; vm++) {
      nextEndpoints[vm] = vm * workload.endpoints() / nextEndpoints.length;
    }
  }

  @Override
  public void handleRequest(int entryVm, long serviceTimeNanos, Runnable onResponse) {
    int endpoint = selectEndpoint(entryVm);
    requestsInFlight[entryVm][endpoint]++;
    scheduler.schedule(
        workload.oneWayDelayNanos(),
        () ->
            endpoints
                .get(endpoint)
                .submit(serviceTimeNanos, () -> handleResponse(entryVm, endpoint, onResponse)));
  }

  private void handleResponse(int entryVm, int endpoint, Runnable onResponse) {
    scheduler.schedule(
        workload.oneWayDelayNanos(),
        () -> {
          requestsInFlight[entryVm][endpoint]--;
          onResponse.run();
        });
  }

  private int selectEndpoint(int entryVm) {
    int count = workload.endpoints();
    return switch (algorithm) {
      case ROUND_ROBIN -> Math.floorMod(nextEndpoints[entryVm]++, count);
      case RANDOM -> random.nextInt(count);
      case POWER_OF_TWO_CHOICES ->
          lessLoaded(entryVm, random.nextInt(count), random.nextInt(count));
      case LEAST_LOCAL_LOAD -> leastLoaded(entryVm);
    };
  }

  private int lessLoaded(int entryVm, int first, int second) {
    return requestsInFlight[entryVm][first] <= requestsInFlight[entryVm][second] ? first : second;
  }

  private int leastLoaded(int entryVm) {
    int least = Math.floorMod(nextEndpoints[entryVm]++, workload.endpoints());
    for (int endpoint = 0; endpoint < workload.endpoints(); endpoint++) {
      least = lessLoaded(entryVm, least, endpoint);
    }
    return least;
  }
}
