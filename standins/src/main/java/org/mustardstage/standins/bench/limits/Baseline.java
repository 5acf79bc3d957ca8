package org.mustardstage.standins.bench.limits;

import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/** Baselines without a bound: each entry VM picks an endpoint by what it knows itself. */
final class Baseline implements SlotPolicy {
  private final VirtualTime time;
  private final Workload workload;
  private final List<EndpointModel> endpoints;
  private final Choice choice;
  private final RandomGenerator random = new SplittableRandom(5);
  private final int[][] localLoad;
  private final int[] next;

  /** How an endpoint is picked. */
  enum Choice {
    ROUND_ROBIN,
    RANDOM,
    POWER_OF_TWO_CHOICES,
    LEAST_LOCAL_LOAD
  }

  Baseline(VirtualTime time, Workload workload, List<EndpointModel> endpoints, Choice choice) {
    this.time = time;
    this.workload = workload;
    this.endpoints = endpoints;
    this.choice = choice;
    this.localLoad = new int[workload.entryVms()][workload.endpoints()];
    this.next = new int[workload.entryVms()];
    for (int vm = 0; vm < next.length; vm++) {
      next[vm] = vm * workload.endpoints() / next.length;
    }
  }

  @Override
  public void arrive(int entryVm, long serviceNanos, Runnable onAnswer) {
    int endpoint = pick(entryVm);
    localLoad[entryVm][endpoint]++;
    time.after(
        workload.networkNanos(),
        () ->
            endpoints.get(endpoint).take(serviceNanos, () -> answer(entryVm, endpoint, onAnswer)));
  }

  private void answer(int entryVm, int endpoint, Runnable onAnswer) {
    time.after(
        workload.networkNanos(),
        () -> {
          localLoad[entryVm][endpoint]--;
          onAnswer.run();
        });
  }

  private int pick(int entryVm) {
    int count = workload.endpoints();
    return switch (choice) {
      case ROUND_ROBIN -> Math.floorMod(next[entryVm]++, count);
      case RANDOM -> random.nextInt(count);
      case POWER_OF_TWO_CHOICES -> lesser(entryVm, random.nextInt(count), random.nextInt(count));
      case LEAST_LOCAL_LOAD -> least(entryVm);
    };
  }

  private int lesser(int entryVm, int first, int second) {
    return localLoad[entryVm][first] <= localLoad[entryVm][second] ? first : second;
  }

  private int least(int entryVm) {
    int least = Math.floorMod(next[entryVm]++, workload.endpoints());
    for (int endpoint = 0; endpoint < workload.endpoints(); endpoint++) {
      least = lesser(entryVm, least, endpoint);
    }
    return least;
  }
}
