package org.mustardstage.core.placement;

import java.util.HashMap;
import java.util.Map;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * How long a connection to an endpoint may have rested and still be used.
 *
 * <p>Answers the load in which endpoints, or something before them, forget connections that rest,
 * and reset the next request on them. After one such reset, connections to that address are used
 * only if they rested much shorter. A request that must not run twice keeps to that limit at every
 * endpoint, as its outcome can't be told after a reset.
 */
public final class RestLimits {
  /** Connections are forgotten after a fixed time, and the one seen rested longer than that. */
  private static final int LIMIT_DIVISOR = 4;

  /** Without another reset, the usual limit holds again after this time. */
  private static final long REMEMBERED_NANOS = 15_000_000_000L;

  private final Map<HostAndPort, Limit> byAddress = new HashMap<>();
  private Limit strictest = Limit.NONE;

  private record Limit(long restMillis, long untilNanos) {
    private static final Limit NONE = new Limit(Long.MAX_VALUE, Long.MIN_VALUE / 2);

    Limit tightened(long nowNanos, long millis) {
      long before = inForce(nowNanos) ? restMillis : Long.MAX_VALUE;
      return new Limit(Math.min(before, millis), nowNanos + REMEMBERED_NANOS);
    }

    boolean inForce(long nowNanos) {
      return nowNanos - untilNanos < 0;
    }
  }

  /** Takes in that a connection was reset on its first request after it rested. */
  public void onForgotten(long nowNanos, HostAndPort address, long restedMillis) {
    long millis = restedMillis / LIMIT_DIVISOR;
    byAddress.values().removeIf(limit -> !limit.inForce(nowNanos));
    byAddress.put(address, byAddress.getOrDefault(address, Limit.NONE).tightened(nowNanos, millis));
    strictest = strictest.tightened(nowNanos, millis);
  }

  /** Returns how long a connection to {@code address} may have rested, in milliseconds. */
  public long maxRestMillis(long nowNanos, HostAndPort address, boolean idempotent) {
    Limit limit = idempotent ? byAddress.getOrDefault(address, Limit.NONE) : strictest;
    return limit.inForce(nowNanos) ? limit.restMillis() : Long.MAX_VALUE;
  }
}
