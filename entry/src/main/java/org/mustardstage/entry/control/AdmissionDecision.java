package org.mustardstage.entry.control;

import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.overload.RejectionReason;

/** The decision on an {@link AdmissionRequest}. */
public sealed interface AdmissionDecision {
  /**
   * The request may be sent to {@code endpoint}.
   *
   * @param endpoint the endpoint whose slot is acquired
   * @param attemptId identifies the attempt and its permit in {@link Admission#reportResult}
   * @param useDeadlineNanos the request must not be sent after this time, and its deadline at the
   *     endpoint must not be later, on the clock of {@link System#nanoTime}
   */
  record Admitted(Endpoint endpoint, long attemptId, long useDeadlineNanos)
      implements AdmissionDecision {}

  /**
   * The request was not sent to an endpoint and will not be.
   *
   * @param reason why it is rejected
   * @param retryAfterMillis the delay after which the caller may retry
   */
  record Rejected(RejectionReason reason, long retryAfterMillis) implements AdmissionDecision {}
}
