package org.mustardstage.standins.bench.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * Assigns each entry VM a fixed share of the slots of each endpoint. Requests without a free slot
 * wait in a queue of their VM, even when other VMs have free slots.
 */
final class StaticPartitionPolicy implements DispatchPolicy {
  private final VirtualTimeScheduler scheduler;
  private final Workload workload;
  private final List<EndpointModel> endpoints;
  private final SlotGauge gauge;
  private final int[][] freeSlots;
  private final List<Queue<PendingRequest>> queues = new ArrayList<>();

  private record PendingRequest(long serviceTimeNanos, Runnable onResponse) {}

  StaticPartitionPolicy(
      VirtualTimeScheduler scheduler,
      Workload workload,
      List<EndpointModel> endpoints,
      SlotGauge gauge) {
    this.scheduler = scheduler;
    this.workload = workload;
    this.endpoints = endpoints;
    this.gauge = gauge;
    this.freeSlots = new int[workload.entryVms()][workload.endpoints()];
    for (int vm = 0; vm < workload.entryVms(); vm++) {
      queues.add(new ArrayDeque<>());
    }
    for (int endpoint = 0; endpoint < workload.endpoints(); endpoint++) {
      for (int slot = 0; slot < workload.slotsPerEndpoint(); slot++) {
        freeSlots[(slot + endpoint) % workload.entryVms()][endpoint]++;
      }
    }
  }

  @Override
  public void handleRequest(int entryVm, long serviceTimeNanos, Runnable onResponse) {
    PendingRequest request = new PendingRequest(serviceTimeNanos, onResponse);
    for (int endpoint = 0; endpoint < workload.endpoints(); endpoint++) {
      if (freeSlots[entryVm][endpoint] > 0) {
        send(entryVm, endpoint, request);
        return;
      }
    }
    gauge.addWaiting(1);
    queues.get(entryVm).add(request);
  }

  private void send(int entryVm, int endpoint, PendingRequest request) {
    freeSlots[entryVm][endpoint]--;
    scheduler.schedule(
        workload.oneWayDelayNanos(),
        () ->
            endpoints
                .get(endpoint)
                .submit(
                    request.serviceTimeNanos(),
                    () ->
                        scheduler.schedule(
                            workload.oneWayDelayNanos(),
                            () -> handleResponse(entryVm, endpoint, request))));
  }

  private void handleResponse(int entryVm, int endpoint, PendingRequest request) {
    freeSlots[entryVm][endpoint]++;
    request.onResponse().run();
    PendingRequest next = queues.get(entryVm).poll();
    if (next != null) {
      gauge.addWaiting(-1);
      send(entryVm, endpoint, next);
    }
  }
}
