package org.mustardstage.core.placement;

import com.google.common.base.Preconditions;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The result of one attempt to send a request to an endpoint.
 *
 * @param status how the attempt ended
 * @param elapsedNanos the time from sending the request to the end of the attempt
 * @param connectNanos the time to open a connection, if a new one was opened
 * @param loadReport the load that the endpoint reported with its response
 * @param notice what the endpoint said in its response about further requests
 */
public record AttemptResult(
    Status status,
    long elapsedNanos,
    Optional<Long> connectNanos,
    Optional<LoadReport> loadReport,
    EndpointNotice notice) {
  /** Returns the result of an attempt that ended before the endpoint had a part in it. */
  public static AttemptResult abandoned() {
    return new AttemptResult(
        Status.ABANDONED, 0, Optional.empty(), Optional.empty(), EndpointNotice.NONE);
  }

  /** How an attempt ended. */
  public enum Status {
    /** A complete response was received. */
    ANSWERED,
    /** The endpoint responded with an error of its own. */
    FAILED,
    /** The endpoint responded that it did not run the request. */
    REFUSED,
    /** The address now belongs to another endpoint. */
    MISDIRECTED,
    /** The response was cut off, malformed or belonged to another request. */
    SPOILED,
    /** No connection could be opened. */
    UNREACHABLE,
    /** No response was received before the timeout. */
    SILENT,
    /** A hedge responded first, while the endpoint still worked. */
    OVERTAKEN,
    /** The caller left or the deadline passed, which says nothing about the endpoint. */
    ABANDONED;

    /** Returns whether a broken link of this VM would have the same result. */
    private boolean mayBeOwnLink() {
      return this == SPOILED || this == UNREACHABLE || this == SILENT;
    }
  }

  /** Returns this result without any blame of the endpoint, as this VM's own links are broken. */
  public AttemptResult withoutBlame() {
    return status.mayBeOwnLink()
        ? new AttemptResult(Status.ABANDONED, elapsedNanos, connectNanos, loadReport, notice)
        : this;
  }

  /**
   * The load that an endpoint reports.
   *
   * @param running the number of running requests
   * @param queued the number of requests that wait for a slot
   * @param slots the number of requests that can run at the same time
   * @param workDuration how long work takes on the endpoint's machine now, as a multiple of its
   *     usual duration, if the endpoint says so
   */
  public record LoadReport(int running, int queued, int slots, OptionalDouble workDuration) {
    /** Checks the ranges. */
    public LoadReport {
      Preconditions.checkArgument(
          running >= 0 && queued >= 0 && slots >= 0,
          "running, queued and slots of a load report must not be negative: %s, %s, %s",
          running,
          queued,
          slots);
      Preconditions.checkArgument(
          workDuration.orElse(1) > 0 && workDuration.orElse(1) < Double.POSITIVE_INFINITY,
          "duration of work in a load report must be positive and finite: %s",
          workDuration);
    }

    /** Creates a report that does not say how long work takes. */
    public LoadReport(int running, int queued, int slots) {
      this(running, queued, slots, OptionalDouble.empty());
    }
  }
}
