package org.mustardstage.core.route;

import org.mustardstage.core.id.EndpointId;

/** What a router keeps of one endpoint, with the figures it last worked out. */
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
      EndpointLocation site, EndpointHealth health, SlowStart slowStart, double roundTripNanos) {
    this.location = site;
    this.health = health;
    this.slowStart = slowStart;
    this.roundTripNanos = roundTripNanos;
  }

  /** Returns the same endpoint with what the manifest now says of it. */
  EndpointState withLocation(EndpointLocation newSite, double newRoundTripNanos) {
    EndpointState copy = new EndpointState(newSite, health, slowStart, newRoundTripNanos);
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

  /** Notes whether it leaves; one that stays again starts slowly. */
  void setLeaving(long nowNanos, boolean nowLeaving) {
    if (leaving && !nowLeaving) {
      slowStart.restart(nowNanos);
    }
    leaving = nowLeaving;
  }

  /** Returns how good a choice it is, lower is better. */
  double score() {
    return score;
  }

  double utilization() {
    return utilization;
  }

  double slowStartShare() {
    return slowStartShare;
  }

  /** Returns whether a recent load report is known. */
  boolean hasFreshReport() {
    return hasFreshReport;
  }

  void setHasFreshReport(boolean nowReported) {
    hasFreshReport = nowReported;
  }

  void setEstimates(double newScore, double newUsedShare, double newStartShare) {
    score = newScore;
    utilization = newUsedShare;
    slowStartShare = newStartShare;
  }
}
