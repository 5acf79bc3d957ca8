package org.mustardstage.standins.bench.policies;

/** What is wrong in a run. */
enum Scenario {
  /** Nothing. */
  HEALTHY("healthy"),
  /** One endpoint takes ten times as long. */
  ONE_SLOW("one endpoint 10x slower"),
  /** One endpoint of each region reports to be idle. */
  LYING("lying reports"),
  /** No load report arrives. */
  NO_REPORTS("no reports");

  private static final double SLOW_FACTOR = 10;

  private final String label;

  Scenario(String label) {
    this.label = label;
  }

  String label() {
    return label;
  }

  /** Returns whether it matters to policies that read no reports. */
  boolean concernsBaselines() {
    return this == HEALTHY || this == ONE_SLOW;
  }

  boolean hasReports() {
    return this != NO_REPORTS;
  }

  /** Puts the endpoint with {@code index} into the state that it has in this scenario. */
  void apply(ModelEndpoint endpoint, int index) {
    if (this == ONE_SLOW && index == 0) {
      endpoint.slowFactor = SLOW_FACTOR;
    }
    if (this == LYING && index < ModelService.ZONES && index % 2 == 0) {
      endpoint.lies = true;
    }
  }
}
