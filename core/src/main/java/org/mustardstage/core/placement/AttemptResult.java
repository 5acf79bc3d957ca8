package org.mustardstage.core.placement;

import java.util.Optional;

/**
 * How the use of an endpoint by one request ended.
 *
 * @param result what came of it
 * @param elapsedNanos the time from sending to the end
 * @param connectNanos how long a new connection took, if one was made
 * @param report the load that the endpoint reported with its answer
 */
public record AttemptResult(
    Status status,
    long elapsedNanos,
    Optional<Long> connectNanos,
    Optional<LoadReport> loadReport) {
  /** What came of a request at an endpoint. */
  public enum Status {
    /** A whole answer came. */
    ANSWERED,
    /** The endpoint answered with an error of its own. */
    FAILED,
    /** The endpoint said that it didn't run the request. */
    REFUSED,
    /** Another endpoint has the address now. */
    MISDIRECTED,
    /** The answer was broken off, malformed or another request's. */
    SPOILED,
    /** No connection could be made. */
    UNREACHABLE,
    /** No answer came in the time that one may take. */
    SILENT,
    /** The caller left or the deadline passed, which says nothing of the endpoint. */
    ABANDONED
  }

  /**
   * What an endpoint says of its load.
   *
   * @param running the requests that run
   * @param waiting the requests that wait for a slot
   * @param slots the slots
   */
  public record LoadReport(int running, int queued, int slots) {}
}
