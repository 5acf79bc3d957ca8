package org.mustardstage.core.drain;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The schedule of a VM that stops gracefully. It accepts requests for a while, as callers still use
 * lookup responses that name it, but only those that end before the process exits: what is accepted
 * later would be cut by the exit, while a rejected caller can still use another VM.
 *
 * @param serveTime how long requests are accepted, from the start of the stop
 * @param exitNanos when the process exits, whatever is still running
 */
public record StopSchedule(Duration serveTime, long exitNanos) {
  /**
   * How long the answers to requests that were ended by the exit may take to reach their callers.
   */
  public static final Duration LAST_ANSWERS_TIME = Duration.ofMillis(200);

  /**
   * Subtracted from the time for a stop, so that the process has exited when that ends. Longer than
   * {@link #LAST_ANSWERS_TIME}.
   */
  private static final Duration EXIT_MARGIN = Duration.ofMillis(500);

  /**
   * Requests are accepted for at most this fraction (one third) of the time for a stop, so that the
   * rest remains for requests in flight.
   */
  private static final int SERVE_TIME_DIVISOR = 3;

  /** Checks the serve time. */
  public StopSchedule {
    checkArgument(!serveTime.isNegative(), "serve time is %s but must not be negative", serveTime);
  }

  /**
   * Returns the schedule of a stop that starts at {@code nowNanos}.
   *
   * @param lookupLifetime how long callers use a lookup response
   * @param stopTime the time in which the process has to exit
   */
  public static StopSchedule startingAt(long nowNanos, Duration lookupLifetime, Duration stopTime) {
    Duration longestServeTime = stopTime.dividedBy(SERVE_TIME_DIVISOR);
    Duration serveTime =
        lookupLifetime.compareTo(longestServeTime) < 0 ? lookupLifetime : longestServeTime;
    long exitNanos = nowNanos + Math.max(0, stopTime.minus(EXIT_MARGIN).toNanos());
    return new StopSchedule(serveTime, exitNanos);
  }

  /** Returns whether a request with the deadline {@code deadlineNanos} ends before the exit. */
  public boolean allowsDeadline(long deadlineNanos) {
    return deadlineNanos - exitNanos <= 0;
  }

  /** Returns how long after {@code nowNanos} the process exits; 0 if that has passed. */
  public Duration untilExit(long nowNanos) {
    return Duration.ofNanos(Math.max(0, exitNanos - nowNanos));
  }
}
