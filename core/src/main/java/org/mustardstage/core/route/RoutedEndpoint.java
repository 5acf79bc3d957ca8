package org.mustardstage.core.route;

import org.mustardstage.core.id.EndpointId;

/** What a router keeps of one endpoint, with the figures it last worked out. */
final class RoutedEndpoint {
  private final EndpointSite site;
  private final EndpointHealth health;
  private final SlowStart slowStart;
  private final double roundTripNanos;
  private boolean leaving;
  private double score;
  private double usedShare;
  private double startShare;
  private boolean reported;

  RoutedEndpoint(
      EndpointSite site, EndpointHealth health, SlowStart slowStart, double roundTripNanos) {
    this.site = site;
    this.health = health;
    this.slowStart = slowStart;
    this.roundTripNanos = roundTripNanos;
  }

  /** Returns the same endpoint with what the manifest now says of it. */
  RoutedEndpoint withSite(EndpointSite newSite, double newRoundTripNanos) {
    RoutedEndpoint copy = new RoutedEndpoint(newSite, health, slowStart, newRoundTripNanos);
    copy.leaving = leaving;
    return copy;
  }

  EndpointId id() {
    return site.id();
  }

  EndpointSite site() {
    return site;
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
    return site.proximity() == Proximity.OTHER_REGION;
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

  double usedShare() {
    return usedShare;
  }

  double startShare() {
    return startShare;
  }

  /** Returns whether a recent load report is known. */
  boolean reported() {
    return reported;
  }

  void setReported(boolean nowReported) {
    reported = nowReported;
  }

  void setFigures(double newScore, double newUsedShare, double newStartShare) {
    score = newScore;
    usedShare = newUsedShare;
    startShare = newStartShare;
  }
}
