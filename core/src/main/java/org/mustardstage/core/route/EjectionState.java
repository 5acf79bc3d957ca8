package org.mustardstage.core.route;

/** Whether the router may send requests to an endpoint. */
public sealed interface EjectionState {
  /**
   * It gets requests as usual.
   *
   * @param sinceNanos when its last ejection ended
   * @param earlierEjections how many consecutive ejections came before
   */
  record Active(long sinceNanos, int earlierEjections) implements EjectionState {}

  /**
   * It gets no requests.
   *
   * @param untilNanos when probing starts
   * @param ejections how many consecutive ejections there were, with this one
   */
  record Ejected(long untilNanos, int ejections) implements EjectionState {}

  /**
   * It gets one probe request at a time until enough consecutive ones succeed (half-open).
   *
   * @param probeInFlight whether a probe request was sent and has not ended
   * @param successfulProbes the number of consecutive successful probes
   * @param ejections how many consecutive ejections there were
   */
  record Probing(boolean probeInFlight, int successfulProbes, int ejections)
      implements EjectionState {}
}
