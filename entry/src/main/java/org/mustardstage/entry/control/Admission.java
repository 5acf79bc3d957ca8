package org.mustardstage.entry.control;

import io.activej.promise.Promise;

/** What traffic threads ask of the control thread. All methods are called on a traffic thread. */
public interface Admission {
  /**
   * Asks for leave to send a request. The promise completes on the calling traffic thread, with a
   * decision before the deadline of the request. A caller that no longer wants a request which was
   * admitted ends it with {@link AttemptReport.Result#NEVER_SENT}.
   */
  Promise<AdmissionDecision> admit(AdmissionRequest request);

  /** Reports the end of an admitted request, exactly once. */
  void reportResult(long useId, AttemptReport end);
}
