package org.mustardstage.entry.gateway;

import java.util.Arrays;
import java.util.Optional;

/** The outcome of a caller's request. */
sealed interface RequestOutcome {
  /** An endpoint responded, to this VM or to the one that the request was relayed to. */
  record Responded(EndpointResponse response) implements RequestOutcome {}

  /**
   * The request was not run and never will be.
   *
   * @param reason the reason, as sent to the caller and logged
   * @param retryAfterMillis after how long the caller should retry
   */
  record NotRun(String reason, long retryAfterMillis) implements RequestOutcome {}

  /** The request may have run, but no usable response arrived. */
  record Unknown(Cause cause) implements RequestOutcome {
    /** Why there is no usable response; the names are sent to callers and logged. */
    enum Cause {
      /** The connection failed, or its bytes were no HTTP response. */
      ANSWER_LOST(502),
      /** The response was altered, or another process than the endpoint produced it. */
      ANSWER_SPOILED(502),
      /** Attempts failed, and no other endpoint may be tried. */
      ENDPOINT_FAILED(502),
      /** The VM that the request was sent to stopped before the response arrived. */
      VM_STOPPED(502),
      /** An error in this VM ended the request after it was sent. */
      INTERNAL_ERROR(502),
      /** The deadline or the rule's timeout passed. */
      TIMEOUT(504);

      private final int status;

      Cause(int status) {
        this.status = status;
      }

      int status() {
        return status;
      }

      /** Returns the cause that another VM named in its response. */
      static Optional<Cause> find(int status, String name) {
        return Arrays.stream(values())
            .filter(cause -> cause.status == status && cause.name().equals(name))
            .findFirst();
      }
    }
  }

  /**
   * The caller closed its connection, or ended its sending side and may still read.
   *
   * @param mayHaveRun whether the request was sent to an endpoint or to another VM
   */
  record CallerDisconnected(boolean mayHaveRun) implements RequestOutcome {}
}
