package org.mustardstage.core.route;

import org.mustardstage.core.id.EndpointId;

/** The state that a router keeps for one endpoint, with the estimates of its last refresh. */
final class EndpointState {
  private final EndpointLocation location;
  private final EndpointHealth health;
  private final SlowStart slowStart;
  private final double roundTripNanos;
  private boolean leaving;
  private double score;
  private double utilization;
  private double slowStartShare;
  private boolean hasFreshReport;

  EndpointState(
      EndpointLocation location,
      EndpointHealth health,
      SlowStart slowStart,
      double roundTripNanos) {
    this.location = location;
    this.health = health;
    this.slowStart = slowStart;
    this.roundTripNanos = roundTripNanos;
  }

  /** Returns a copy with the location that a new manifest gives and the same health. */
  EndpointState withLocation(EndpointLocation newLocation, double newRoundTripNanos) {
    EndpointState copy = new EndpointState(newLocation, health, slowStart, newRoundTripNanos);
    copy.leaving = leaving;
    return copy;
  }

  EndpointId id() {
    return location.id();
  }

  EndpointLocation location() {
    return location;
  }

  EndpointHealth health() {
    return health;
  }

  SlowStart slowStart() {
    return slowStart;
  }

  double roundTripNanos() {
    return roundTripNanos;
  }

  boolean isRemote() {
    return location.proximity() == Proximity.OTHER_REGION;
  }

  boolean isLeaving() {
    return leaving;
  }

  /** Sets whether it is leaving; slow start begins again when it no longer is. */
  void setLeaving(long nowNanos, boolean newLeaving) {
    if (leaving && !newLeaving) {
      slowStart.restart(nowNanos);
    }
    leaving = newLeaving;
  }

  /** Returns the score by the objective of the service; lower is better. */
  double score() {
    return score;
  }

  double utilization() {
    return utilization;
  }

  double slowStartShare() {
    return slowStartShare;
  }

  /** Returns whether a fresh load report was known at the last refresh. */
  boolean hasFreshReport() {
    return hasFreshReport;
  }

  void setHasFreshReport(boolean newHasFreshReport) {
    hasFreshReport = newHasFreshReport;
  }

  void setEstimates(double newScore, double newUtilization, double newSlowStartShare) {
    score = newScore;
    utilization = newUtilization;
    slowStartShare = newSlowStartShare;
  }
}
