package org.mustardstage.standins.bench.policies;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Simulates one service under one policy, fault scenario and load. */
final class Simulation {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long TICK_INTERVAL_NANOS = 10 * NANOS_PER_MILLI;
  private static final long LOAD_REPORT_INTERVAL_NANOS = 500 * NANOS_PER_MILLI;
  private static final long WINDOW_NANOS = LoadShape.WINDOW_MILLIS * NANOS_PER_MILLI;

  private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
  private final List<EndpointModel> endpoints = new ArrayList<>();
  private final List<EntryVmModel> entryVms = new ArrayList<>();
  private final List<Double> headroomPerWindow = new ArrayList<>();
  private final SplittableRandom random;
  private final LoadShape load;
  private final CallerModel callers;
  private int nextEntryVm;

  Simulation(
      ServiceModel service, EntryVmPolicy policy, Scenario scenario, LoadShape load, long seed) {
    this.random = new SplittableRandom(seed);
    this.load = load;
    this.callers = new CallerModel(scheduler, service, load, random.split(), this::routeToEntryVm);
    for (int i = 0; i < service.endpoints(); i++) {
      EndpointModel endpoint =
          new EndpointModel(scheduler, i, i % ServiceModel.ZONES, service.slotsPerEndpoint());
      scenario.apply(endpoint, i);
      endpoints.add(endpoint);
    }
    NetworkModel network = new NetworkModel(scheduler, endpoints, callers);
    for (int i = 0; i < ServiceModel.ENTRY_VMS; i++) {
      int zone = i % ServiceModel.ZONES;
      entryVms.add(
          switch (policy) {
            case MUSTARDSTAGE ->
                new MustardstageEntryVm(
                    network,
                    service,
                    zone,
                    scenario.hasLoadReports(),
                    random.split(),
                    this::offerReleasedPermit);
            case PLAIN_QUEUE -> new FifoQueueEntryVm(network, zone, this::offerReleasedPermit);
            case ROUND_ROBIN, RANDOM, POWER_OF_TWO, LEAST_LOCAL_LOAD ->
                new DirectDispatchEntryVm(network, policy, zone, random.split());
          });
    }
  }

  VirtualTimeScheduler scheduler() {
    return scheduler;
  }

  List<EndpointModel> endpoints() {
    return endpoints;
  }

  List<EntryVmModel> entryVms() {
    return entryVms;
  }

  /** Runs the simulation and returns the measurements from {@code warmUpMillis} to its end. */
  RunResult run(long warmUpMillis) {
    callers.setMeasurementStart(warmUpMillis * NANOS_PER_MILLI);
    callers.scheduleNextArrival();
    scheduler.schedule(TICK_INTERVAL_NANOS, this::tick);
    scheduler.schedule(LOAD_REPORT_INTERVAL_NANOS, this::deliverLoadReports);
    scheduler.schedule(WINDOW_NANOS, () -> sampleHeadroom(warmUpMillis * NANOS_PER_MILLI));
    scheduler.runUntil(load.endMillis() * NANOS_PER_MILLI);
    double seconds = (load.endMillis() - warmUpMillis) / 1_000.0;
    return callers.result(seconds, headroom());
  }

  private void routeToEntryVm(CallerRequest request) {
    int zonesPerRegion = ServiceModel.ZONES / ServiceModel.REGIONS;
    int index = random.nextInt(entryVms.size());
    while (index % ServiceModel.ZONES / zonesPerRegion != request.region) {
      index = random.nextInt(entryVms.size());
    }
    entryVms.get(index).handleRequest(request);
  }

  /** Offers a released permit to the entry VMs of its zone first, then to the others. */
  private void offerReleasedPermit(EndpointModel endpoint) {
    nextEntryVm = (nextEntryVm + 1) % entryVms.size();
    dispatchAll(endpoint.zone, true);
    dispatchAll(endpoint.zone, false);
  }

  private void dispatchAll(int zone, boolean inZone) {
    for (int i = 0; i < entryVms.size(); i++) {
      int index = (nextEntryVm + i) % entryVms.size();
      if ((index % ServiceModel.ZONES == zone) == inZone) {
        entryVms.get(index).dispatch();
      }
    }
  }

  private void tick() {
    entryVms.forEach(EntryVmModel::dispatch);
    scheduler.schedule(TICK_INTERVAL_NANOS, this::tick);
  }

  private void deliverLoadReports() {
    entryVms.forEach(EntryVmModel::updateLoadReports);
    scheduler.schedule(LOAD_REPORT_INTERVAL_NANOS, this::deliverLoadReports);
  }

  private void sampleHeadroom(long fromNanos) {
    double maxUtilization = 0;
    for (EndpointModel endpoint : endpoints) {
      maxUtilization = Math.max(maxUtilization, endpoint.resetUtilization());
    }
    if (scheduler.nowNanos() >= fromNanos) {
      headroomPerWindow.add(1 - maxUtilization);
    }
    scheduler.schedule(WINDOW_NANOS, () -> sampleHeadroom(fromNanos));
  }

  private Headroom headroom() {
    double mean = headroomPerWindow.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    double min = headroomPerWindow.stream().mapToDouble(Double::doubleValue).min().orElse(0);
    return new Headroom(mean, min);
  }
}
