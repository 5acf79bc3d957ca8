package org.mustardstage.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * Limits how long a connection to an endpoint may have been idle and still be reused.
 *
 * <p>Handles endpoints, or proxies in front of them, that silently drop idle connections and reset
 * the next request on them. After one such reset, connections to that address are reused only if
 * they have been idle for a much shorter time. When several addresses reset idle connections,
 * non-idempotent requests keep to the strictest limit at every endpoint, because their outcome is
 * unknown after a reset.
 */
public final class IdleConnectionLimits {
  /**
   * Connections are dropped after a fixed idle time. A connection that was reset had been idle for
   * longer than that, so the limit is a fraction of its idle time.
   */
  private static final int LIMIT_DIVISOR = 4;

  /** A reset after a shorter idle time has another cause, such as a crash of the endpoint. */
  private static final long MIN_IDLE_MILLIS = 100;

  /** Resets at fewer addresses may come from single endpoints that have just crashed. */
  private static final int MIN_RESETTING_ADDRESSES = 3;

  /** Time without another reset after which the limit of an address expires. */
  private static final long LIMIT_LIFETIME_NANOS = 15_000_000_000L;

  private final Map<HostAndPort, Limit> byAddress = new HashMap<>();

  private record Limit(long idleMillis, long untilNanos) {
    private static final Limit NONE = new Limit(Long.MAX_VALUE, Long.MIN_VALUE / 2);

    Limit tightened(long nowNanos, long millis) {
      long before = isActive(nowNanos) ? idleMillis : Long.MAX_VALUE;
      return new Limit(Math.min(before, millis), nowNanos + LIMIT_LIFETIME_NANOS);
    }

    boolean isActive(long nowNanos) {
      return nowNanos - untilNanos < 0;
    }
  }

  /** Tightens the limit of an address after a reset of the first request on an idle connection. */
  public void recordReset(long nowNanos, HostAndPort address, long idleMillis) {
    if (idleMillis < MIN_IDLE_MILLIS) {
      return;
    }
    long millis = idleMillis / LIMIT_DIVISOR;
    byAddress.values().removeIf(limit -> !limit.isActive(nowNanos));
    byAddress.put(address, byAddress.getOrDefault(address, Limit.NONE).tightened(nowNanos, millis));
  }

  /** Returns how long a connection to {@code address} may have been idle, in milliseconds. */
  public long maxIdleMillis(long nowNanos, HostAndPort address, boolean idempotent) {
    Limit own = byAddress.getOrDefault(address, Limit.NONE);
    long millis = own.isActive(nowNanos) ? own.idleMillis() : Long.MAX_VALUE;
    return idempotent ? millis : Math.min(millis, strictestLimitMillis(nowNanos));
  }

  private long strictestLimitMillis(long nowNanos) {
    List<Limit> active =
        byAddress.values().stream().filter(limit -> limit.isActive(nowNanos)).toList();
    return active.size() < MIN_RESETTING_ADDRESSES
        ? Long.MAX_VALUE
        : active.stream().mapToLong(Limit::idleMillis).min().orElseThrow();
  }
}
