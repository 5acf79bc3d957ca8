package org.mustardstage.standins.bench.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/** Each entry VM has a fixed share of the slots of each endpoint, and a queue. */
final class FixedSlices implements SlotPolicy {
  private final VirtualTime time;
  private final Workload workload;
  private final List<EndpointModel> endpoints;
  private final SlotGauge gauge;
  private final int[][] free;
  private final List<Queue<Job>> queues = new ArrayList<>();

  private record Job(long serviceNanos, Runnable onAnswer) {}

  FixedSlices(VirtualTime time, Workload workload, List<EndpointModel> endpoints, SlotGauge gauge) {
    this.time = time;
    this.workload = workload;
    this.endpoints = endpoints;
    this.gauge = gauge;
    this.free = new int[workload.entryVms()][workload.endpoints()];
    for (int vm = 0; vm < workload.entryVms(); vm++) {
      queues.add(new ArrayDeque<>());
    }
    for (int endpoint = 0; endpoint < workload.endpoints(); endpoint++) {
      for (int slot = 0; slot < workload.slots(); slot++) {
        free[(slot + endpoint) % workload.entryVms()][endpoint]++;
      }
    }
  }

  @Override
  public void arrive(int entryVm, long serviceNanos, Runnable onAnswer) {
    Job job = new Job(serviceNanos, onAnswer);
    for (int endpoint = 0; endpoint < workload.endpoints(); endpoint++) {
      if (free[entryVm][endpoint] > 0) {
        send(entryVm, endpoint, job);
        return;
      }
    }
    gauge.addWaiting(1);
    queues.get(entryVm).add(job);
  }

  private void send(int entryVm, int endpoint, Job job) {
    free[entryVm][endpoint]--;
    time.after(
        workload.networkNanos(),
        () ->
            endpoints
                .get(endpoint)
                .take(
                    job.serviceNanos(),
                    () ->
                        time.after(workload.networkNanos(), () -> answer(entryVm, endpoint, job))));
  }

  private void answer(int entryVm, int endpoint, Job job) {
    free[entryVm][endpoint]++;
    job.onAnswer().run();
    Job next = queues.get(entryVm).poll();
    if (next != null) {
      gauge.addWaiting(-1);
      send(entryVm, endpoint, next);
    }
  }
}
