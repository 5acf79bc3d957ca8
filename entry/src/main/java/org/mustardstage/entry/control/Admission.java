package org.mustardstage.entry.control;

import io.activej.promise.Promise;

/**
 * Admission control as traffic threads use it. All methods are called on a traffic thread and
 * forward to the control thread.
 */
public interface Admission {
  /**
   * Decides whether and to which endpoint a request may be sent. The promise completes on the
   * calling traffic thread, before the deadline of the request. If the request was canceled in the
   * meantime, the traffic thread reports {@link AttemptReport.Result#NEVER_SENT} for it.
   */
  Promise<AdmissionDecision> admit(AdmissionRequest request);

  /** Reports the result of an admitted attempt. Must be called exactly once for each. */
  void reportResult(long attemptId, AttemptReport report);
}
