package org.mustardstage.standins.bench.policies;

import java.util.List;
import java.util.function.Consumer;
import org.mustardstage.core.route.NetworkDelays;
import org.mustardstage.core.route.Proximity;

/** Delays the requests and responses between entry VMs and endpoints. */
final class NetworkModel {
  private final VirtualTimeScheduler scheduler;
  private final List<EndpointModel> endpoints;
  private final CallerModel callers;

  NetworkModel(VirtualTimeScheduler scheduler, List<EndpointModel> endpoints, CallerModel callers) {
    this.scheduler = scheduler;
    this.endpoints = endpoints;
    this.callers = callers;
  }

  VirtualTimeScheduler scheduler() {
    return scheduler;
  }

  List<EndpointModel> endpoints() {
    return endpoints;
  }

  CallerModel callers() {
    return callers;
  }

  /** Sends a request to an endpoint; {@code onResponse} receives whether it ran. */
  void send(int zone, EndpointModel endpoint, CallerRequest request, Consumer<Boolean> onResponse) {
    long oneWayNanos = NetworkDelays.DEFAULT.roundTripNanos(proximity(zone, endpoint)) / 2;
    scheduler.schedule(
        oneWayNanos,
        () ->
            endpoint.submit(
                request, ran -> scheduler.schedule(oneWayNanos, () -> onResponse.accept(ran))));
  }

  static Proximity proximity(int zone, EndpointModel endpoint) {
    if (zone == endpoint.zone) {
      return Proximity.OWN_ZONE;
    }
    int zonesPerRegion = ServiceModel.ZONES / ServiceModel.REGIONS;
    boolean sameRegion = zone / zonesPerRegion == endpoint.region();
    return sameRegion ? Proximity.OWN_REGION : Proximity.OTHER_REGION;
  }
}
