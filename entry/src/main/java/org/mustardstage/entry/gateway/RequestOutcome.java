package org.mustardstage.entry.gateway;

import org.mustardstage.core.id.EndpointId;

/** How carrying a request ended. */
sealed interface RequestOutcome {
  /** An endpoint answered. */
  record Responded(EndpointResponse response, EndpointId endpoint) implements RequestOutcome {}

  /**
   * The request was not run and never will be.
   *
   * @param reason why
   * @param retryAfterMillis when the caller should come back
   */
  record NotRun(String reason, long retryAfterMillis) implements RequestOutcome {}

  /** The request may have run, and its answer is lost. */
  record Unknown(Cause cause) implements RequestOutcome {
    /** Why the answer is lost. */
    enum Cause {
      /** The endpoint broke off. */
      ANSWER_LOST(502),
      /** What came is not the endpoint's whole answer. */
      ANSWER_SPOILED(502),
      /** Endpoints failed, and no other is left to try. */
      ENDPOINT_FAILED(502),
      /** The deadline or the rule's timeout passed. */
      TIMEOUT(504);

      private final int status;

      Cause(int status) {
        this.status = status;
      }

      int status() {
        return status;
      }
    }
  }

  /** The caller closed its connection. */
  record CallerDisconnected() implements RequestOutcome {}
}
