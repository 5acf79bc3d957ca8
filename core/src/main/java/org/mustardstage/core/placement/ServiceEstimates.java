package org.mustardstage.core.placement;

import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.id.RegionId;

/** What responses say of the service times of a service and of where its affinity keys are warm. */
final class ServiceEstimates {
  /** Smoothing factor of the mean service time; about the last twenty responses determine it. */
  private static final double MEAN_SMOOTHING_FACTOR = 0.05;

  private final RoundTripEstimates roundTrips;
  private final ServiceTimeEstimates serviceTimes = new ServiceTimeEstimates();
  private final WarmProbability warmProbabilityByRegion = new WarmProbability();
  private double meanServiceTimeNanos;

  ServiceEstimates(RoundTripEstimates roundTrips) {
    this.roundTrips = roundTrips;
  }

  /** Returns the mean service time of all rules; 0 before the first response. */
  double meanServiceTimeNanos() {
    return meanServiceTimeNanos;
  }

  /** Returns the expected service time of a request that is warm with the given probability. */
  double serviceTimeNanos(RoutingRule rule, double warmProbability) {
    return serviceTimes.expectedNanos(rule, warmProbability);
  }

  /** Returns the probability that other VMs have warmed a key where it belongs in a region. */
  double warmProbability(RegionId region) {
    return warmProbabilityByRegion.inRegion(region);
  }

  /**
   * Updates the estimates from a response. If requests are queued at the endpoint, only records the
   * key as warm, because the elapsed time then includes an unknown time in that queue.
   */
  void recordResponse(
      long nowNanos, PlacementDecision.Placed placed, EndpointState state, AttemptResult result) {
    long roundTripNanos = roundTrips.roundTripNanos(state.endpoint().zone());
    long serviceTimeNanos = Math.max(1, result.elapsedNanos() - roundTripNanos);
    SchedulerRequest request = placed.request();
    request.affinityKey().ifPresent(key -> state.warmKeys().recordRequest(nowNanos, key));
    if (result.loadReport().filter(report -> report.queued() > 0).isPresent()) {
      return;
    }
    if (!state.isCold(nowNanos)) {
      boolean ranWarm =
          serviceTimes.addSample(
              request.rule(),
              placed.warmProbability() >= 0.5,
              (long) (serviceTimeNanos / state.slowness(nowNanos)));
      if (placed.warmProbability() < 1) {
        warmProbabilityByRegion.addSample(roundTrips.regionOf(state), ranWarm);
      }
      meanServiceTimeNanos =
          meanServiceTimeNanos == 0
              ? serviceTimeNanos
              : meanServiceTimeNanos
                  + MEAN_SMOOTHING_FACTOR * (serviceTimeNanos - meanServiceTimeNanos);
    }
    state.recordServiceTime(
        nowNanos,
        (double) serviceTimeNanos,
        serviceTimeNanos(request.rule(), placed.warmProbability()) * state.slowness(nowNanos));
    request.affinityKey().ifPresent(key -> state.warmKeys().recordRequest(nowNanos, key));
  }
}
