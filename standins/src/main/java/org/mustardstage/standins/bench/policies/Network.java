package org.mustardstage.standins.bench.policies;

import java.util.List;
import java.util.function.Consumer;
import org.mustardstage.core.route.NetworkDelays;
import org.mustardstage.core.route.Proximity;

/** Carries attempts between entry VMs and endpoints. */
final class Network {
  private final EventQueue events;
  private final List<ModelEndpoint> endpoints;
  private final CallerModel callers;

  Network(EventQueue events, List<ModelEndpoint> endpoints, CallerModel callers) {
    this.events = events;
    this.endpoints = endpoints;
    this.callers = callers;
  }

  EventQueue events() {
    return events;
  }

  List<ModelEndpoint> endpoints() {
    return endpoints;
  }

  CallerModel callers() {
    return callers;
  }

  /** Sends an attempt to an endpoint; {@code onAnswer} gets whether it ran. */
  void send(int zone, ModelEndpoint endpoint, Attempt attempt, Consumer<Boolean> onAnswer) {
    long oneWayNanos = NetworkDelays.DEFAULT.roundTripNanos(proximity(zone, endpoint)) / 2;
    events.after(
        oneWayNanos,
        () ->
            endpoint.submit(attempt, ran -> events.after(oneWayNanos, () -> onAnswer.accept(ran))));
  }

  static Proximity proximity(int zone, ModelEndpoint endpoint) {
    if (zone == endpoint.zone) {
      return Proximity.OWN_ZONE;
    }
    int zonesPerRegion = ModelService.ZONES / ModelService.REGIONS;
    boolean sameRegion = zone / zonesPerRegion == endpoint.region();
    return sameRegion ? Proximity.OWN_REGION : Proximity.OTHER_REGION;
  }
}
