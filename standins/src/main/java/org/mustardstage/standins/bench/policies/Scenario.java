package org.mustardstage.standins.bench.policies;

/** The fault that is injected into a run. */
enum Scenario {
  /** No fault. */
  HEALTHY("healthy"),
  /** One endpoint needs ten times as long for each request. */
  ONE_SLOW("one endpoint 10x slower"),
  /** One endpoint of each region always reports that it is idle. */
  LYING("lying reports"),
  /** No load report reaches an entry VM. */
  NO_REPORTS("no reports");

  private static final double SLOW_FACTOR = 10;

  private final String label;

  Scenario(String label) {
    this.label = label;
  }

  String label() {
    return label;
  }

  /** Returns whether the fault affects policies that do not use load reports. */
  boolean affectsBaselines() {
    return this == HEALTHY || this == ONE_SLOW;
  }

  boolean hasLoadReports() {
    return this != NO_REPORTS;
  }

  /** Injects the fault of this scenario into the endpoint at {@code index}, if it has one there. */
  void apply(EndpointModel endpoint, int index) {
    if (this == ONE_SLOW && index == 0) {
      endpoint.slowFactor = SLOW_FACTOR;
    }
    if (this == LYING && index < ServiceModel.ZONES && index % 2 == 0) {
      endpoint.reportsIdle = true;
    }
  }
}
