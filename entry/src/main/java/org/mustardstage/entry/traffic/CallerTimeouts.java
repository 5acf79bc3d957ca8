package org.mustardstage.entry.traffic;

import java.util.concurrent.TimeUnit;

/**
 * How long callers may take.
 *
 * @param headNanos to send the head of a request
 * @param progressNanos to send or take the next bytes of a body
 * @param keepAliveNanos to begin the next request
 */
record CallerTimeouts(long headTimeoutNanos, long progressTimeoutNanos, long keepAliveTimeoutNanos) {
  /** Returns the timeouts of {@code settings}. */
  static CallerTimeouts of(TrafficSettings settings) {
    TrafficLimits limits = settings.limits();
    return new CallerTimeouts(
        TimeUnit.MILLISECONDS.toNanos(settings.headerTimeoutMillis()),
        TimeUnit.MILLISECONDS.toNanos(limits.bodyProgressTimeoutMillis()),
        TimeUnit.MILLISECONDS.toNanos(limits.keepAliveTimeoutMillis()));
  }
}
