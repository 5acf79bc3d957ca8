package org.mustardstage.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * How long a connection to an endpoint may have rested and still be used.
 *
 * <p>Answers the load in which endpoints, or something before them, forget connections that rest,
 * and reset the next request on them. After one such reset, connections to that address are used
 * only if they rested much shorter. When several addresses forget, requests that must not run twice
 * keep to the strictest limit at every endpoint, as their outcome can't be told after a reset.
 */
public final class IdleConnectionLimits {
  /** Connections are forgotten after a fixed time, and the one seen rested longer than that. */
  private static final int LIMIT_DIVISOR = 4;

  /** A connection that rested shorter was reset for another reason, such as a crash. */
  private static final long MIN_REST_MILLIS = 100;

  /** Fewer addresses that forget may be single endpoints that have just crashed. */
  private static final int SEVERAL_ADDRESSES = 3;

  /** Without another reset, the usual limit holds again after this time. */
  private static final long REMEMBERED_NANOS = 15_000_000_000L;

  private final Map<HostAndPort, Limit> byAddress = new HashMap<>();

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
  public void recordReset(long nowNanos, HostAndPort address, long restedMillis) {
    if (restedMillis < MIN_REST_MILLIS) {
      return;
    }
    long millis = restedMillis / LIMIT_DIVISOR;
    byAddress.values().removeIf(limit -> !limit.inForce(nowNanos));
    byAddress.put(address, byAddress.getOrDefault(address, Limit.NONE).tightened(nowNanos, millis));
  }

  /** Returns how long a connection to {@code address} may have rested, in milliseconds. */
  public long maxIdleMillis(long nowNanos, HostAndPort address, boolean idempotent) {
    Limit own = byAddress.getOrDefault(address, Limit.NONE);
    long millis = own.inForce(nowNanos) ? own.restMillis() : Long.MAX_VALUE;
    return idempotent ? millis : Math.min(millis, limitEverywhere(nowNanos));
  }

  private long limitEverywhere(long nowNanos) {
    List<Limit> inForce =
        byAddress.values().stream().filter(limit -> limit.inForce(nowNanos)).toList();
    return inForce.size() < SEVERAL_ADDRESSES
        ? Long.MAX_VALUE
        : inForce.stream().mapToLong(Limit::restMillis).min().orElseThrow();
  }
}
