package org.mustardstage.core.route;

/** Whether an endpoint takes part in the choice. */
public sealed interface EjectionState {
  /** It takes part, since {@code sinceNanos}, after {@code earlierEjections}. */
  record Active(long sinceNanos, int earlierEjections) implements EjectionState {}

  /** It gets no request until {@code untilNanos}. */
  record Ejected(long untilNanos, int ejections) implements EjectionState {}

  /** It gets one request at a time until enough in a row were answered well. */
  record Probing(boolean probeInFlight, int successfulProbes, int ejections)
      implements EjectionState {}
}
