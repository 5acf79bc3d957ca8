package org.mustardstage.entry.control;

import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.overload.RejectionReason;

/** The answer to an {@link AdmissionRequest}. */
public sealed interface AdmissionDecision {
  /**
   * The request may be sent to an endpoint.
   *
   * @param endpoint where to send it
   * @param useId names this use of a permit; handed back with {@link Admission#reportResult}
   * @param useUntilNanos the request must not be sent after this time, and its deadline at the
   *     endpoint must not lie past it, on the clock of {@link System#nanoTime}
   */
  record Admitted(Endpoint endpoint, long attemptId, long useDeadlineNanos)
      implements AdmissionDecision {}

  /**
   * The request was not and will not be run.
   *
   * @param reason why
   * @param retryAfterMillis when the caller may come back
   */
  record Rejected(RejectionReason reason, long retryAfterMillis) implements AdmissionDecision {}
}
