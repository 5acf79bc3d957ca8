package org.mustardstage.standins.bench.policies;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** One run of a service under a policy. */
final class Simulation {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long TICK_NANOS = 10 * NANOS_PER_MILLI;
  private static final long REPORT_NANOS = 500 * NANOS_PER_MILLI;
  private static final long WINDOW_NANOS = LoadShape.WINDOW_MILLIS * NANOS_PER_MILLI;

  private final EventQueue events = new EventQueue();
  private final List<ModelEndpoint> endpoints = new ArrayList<>();
  private final List<EntryModel> entries = new ArrayList<>();
  private final List<Double> leastFree = new ArrayList<>();
  private final SplittableRandom random;
  private final LoadShape load;
  private final CallerModel callers;
  private int nextEntry;

  Simulation(ModelService service, Policy policy, Scenario scenario, LoadShape load, long seed) {
    this.random = new SplittableRandom(seed);
    this.load = load;
    this.callers = new CallerModel(events, service, load, random.split(), this::arrive);
    for (int i = 0; i < service.endpoints(); i++) {
      ModelEndpoint endpoint =
          new ModelEndpoint(events, i, i % ModelService.ZONES, service.slots());
      scenario.apply(endpoint, i);
      endpoints.add(endpoint);
    }
    Network network = new Network(events, endpoints, callers);
    for (int i = 0; i < ModelService.ENTRY_VMS; i++) {
      int zone = i % ModelService.ZONES;
      entries.add(
          switch (policy) {
            case MUSTARDSTAGE ->
                new SteeredEntry(
                    network, service, zone, scenario.hasReports(), random.split(), this::freed);
            case PLAIN_QUEUE -> new PlainQueueEntry(network, zone, this::freed);
            case ROUND_ROBIN, RANDOM, POWER_OF_TWO, LEAST_LOCAL_LOAD ->
                new DirectEntry(network, policy, zone, random.split());
          });
    }
  }

  EventQueue events() {
    return events;
  }

  List<ModelEndpoint> endpoints() {
    return endpoints;
  }

  List<EntryModel> entries() {
    return entries;
  }

  /** Runs to the end and returns what was measured after the first {@code warmUpMillis}. */
  RunResult run(long warmUpMillis) {
    callers.measureFrom(warmUpMillis * NANOS_PER_MILLI);
    callers.start();
    events.after(TICK_NANOS, this::tick);
    events.after(REPORT_NANOS, this::passOnReports);
    events.after(WINDOW_NANOS, () -> sample(warmUpMillis * NANOS_PER_MILLI));
    events.runUntil(load.endMillis() * NANOS_PER_MILLI);
    double seconds = (load.endMillis() - warmUpMillis) / 1_000.0;
    return callers.result(seconds, headroom());
  }

  private void arrive(Attempt attempt) {
    int zonesPerRegion = ModelService.ZONES / ModelService.REGIONS;
    int index = random.nextInt(entries.size());
    while (index % ModelService.ZONES / zonesPerRegion != attempt.region) {
      index = random.nextInt(entries.size());
    }
    entries.get(index).arrive(attempt);
  }

  /** Offers a permit that became free to the entry VMs of its zone, then to the others. */
  private void freed(ModelEndpoint endpoint) {
    nextEntry = (nextEntry + 1) % entries.size();
    dispatchAll(endpoint.zone, true);
    dispatchAll(endpoint.zone, false);
  }

  private void dispatchAll(int zone, boolean within) {
    for (int i = 0; i < entries.size(); i++) {
      int index = (nextEntry + i) % entries.size();
      if ((index % ModelService.ZONES == zone) == within) {
        entries.get(index).dispatch();
      }
    }
  }

  private void tick() {
    entries.forEach(EntryModel::dispatch);
    events.after(TICK_NANOS, this::tick);
  }

  private void passOnReports() {
    entries.forEach(EntryModel::onReports);
    events.after(REPORT_NANOS, this::passOnReports);
  }

  private void sample(long fromNanos) {
    double mostUsed = 0;
    for (ModelEndpoint endpoint : endpoints) {
      mostUsed = Math.max(mostUsed, endpoint.takeUsedShare());
    }
    if (events.nowNanos() >= fromNanos) {
      leastFree.add(1 - mostUsed);
    }
    events.after(WINDOW_NANOS, () -> sample(fromNanos));
  }

  private Headroom headroom() {
    double mean = leastFree.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    double least = leastFree.stream().mapToDouble(Double::doubleValue).min().orElse(0);
    return new Headroom(mean, least);
  }
}
