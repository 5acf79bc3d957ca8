package org.mustardstage.entry.traffic;

import java.util.concurrent.TimeUnit;

/**
 * Timeouts of caller connections.
 *
 * @param firstRequestTimeoutNanos how long a new connection may carry no byte of a request
 * @param headTimeoutNanos how long a caller may take to send a request head
 * @param progressTimeoutNanos how long a caller may make no progress on a request or response body
 * @param keepAliveTimeoutNanos how long a connection may be idle between requests
 */
record CallerTimeouts(
    long firstRequestTimeoutNanos,
    long headTimeoutNanos,
    long progressTimeoutNanos,
    long keepAliveTimeoutNanos) {
  /** Returns the timeouts of {@code settings}. */
  static CallerTimeouts of(TrafficSettings settings) {
    TrafficLimits limits = settings.limits();
    return new CallerTimeouts(
        TimeUnit.MILLISECONDS.toNanos(settings.headerTimeoutMillis()),
        TimeUnit.MILLISECONDS.toNanos(settings.headerTimeoutMillis()),
        TimeUnit.MILLISECONDS.toNanos(limits.bodyProgressTimeoutMillis()),
        TimeUnit.MILLISECONDS.toNanos(limits.keepAliveTimeoutMillis()));
  }
}
