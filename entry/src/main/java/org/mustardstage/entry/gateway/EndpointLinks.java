package org.mustardstage.entry.gateway;

import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.placement.IdleConnectionLimits;

/** The links of one traffic thread to all endpoints. */
final class EndpointLinks {
  /** Links are closed this long before the endpoint would; a request may be on its way. */
  private static final long CLOSE_MARGIN_MILLIS = 2_000;

  /** How long idle links are kept when the endpoint doesn't say. */
  private static final long DEFAULT_KEPT_MILLIS = 6_000;

  /** A request that must not run twice goes over a link that has answered this lately, or a new. */
  private static final long FRESH_LINK_MILLIS = 3_000;

  private final NioReactor reactor;
  private final HeaderNames dialect;
  private final Map<HostAndPort, Pool> pools = new HashMap<>();
  private final IdleConnectionLimits restLimits = new IdleConnectionLimits();

  private static final class Pool {
    private final Deque<EndpointLink> idle = new ArrayDeque<>();
    private final Set<EndpointLink> open = new HashSet<>();
    private long lastAnswerNanos = Long.MIN_VALUE / 2;
  }

  EndpointLinks(NioReactor reactor, HeaderNames dialect) {
    this.reactor = reactor;
    this.dialect = dialect;
  }

  /**
   * Returns an idle link that a request may be sent over, if there is one. A request that must not
   * run twice gets only one that has answered lately.
   */
  Optional<EndpointLink> takeIdle(HostAndPort address, long nowNanos, boolean idempotent) {
    long withinMillis =
        Math.min(
            idempotent ? Long.MAX_VALUE : FRESH_LINK_MILLIS,
            restLimits.maxIdleMillis(nowNanos, address, idempotent));
    Pool pool = pools.get(address);
    if (pool == null) {
      return Optional.empty();
    }
    closeStale(pool, nowNanos);
    while (!pool.idle.isEmpty()) {
      EndpointLink freshest = pool.idle.peekLast();
      if (!freshest.isIdle()) {
        pool.idle.removeLast();
        continue;
      }
      if (nowNanos - freshest.lastAnswerNanos() >= TimeUnit.MILLISECONDS.toNanos(withinMillis)) {
        return Optional.empty();
      }
      return Optional.of(pool.idle.removeLast());
    }
    return Optional.empty();
  }

  /** Returns a link that has yet to be made, or empty if there are {@code maxOpen} already. */
  Optional<EndpointLink> create(HostAndPort address, int maxOpen) {
    Pool pool = pools.computeIfAbsent(address, key -> new Pool());
    if (pool.open.size() >= maxOpen && !closeOldestIdle(pool)) {
      return Optional.empty();
    }
    EndpointLink[] self = new EndpointLink[1];
    self[0] =
        new EndpointLink(
            reactor,
            new InetSocketAddress(address.host(), address.port()),
            dialect,
            () -> pool.open.remove(self[0]));
    pool.open.add(self[0]);
    return Optional.of(self[0]);
  }

  private static boolean closeOldestIdle(Pool pool) {
    EndpointLink oldest = pool.idle.pollFirst();
    if (oldest == null) {
      return false;
    }
    oldest.close();
    return true;
  }

  /** Returns when an endpoint at {@code address} last answered any request of this thread. */
  long lastAnswerNanos(HostAndPort address) {
    Pool pool = pools.get(address);
    return pool == null ? Long.MIN_VALUE / 2 : pool.lastAnswerNanos;
  }

  /** Takes a link back that has answered; it is used again unless it is closed. */
  void giveBack(HostAndPort address, EndpointLink link) {
    Pool pool = pools.get(address);
    if (pool != null) {
      pool.lastAnswerNanos = System.nanoTime();
    }
    if (pool == null || !link.isIdle()) {
      link.close();
      return;
    }
    pool.idle.addLast(link);
  }

  /** Closes the links that the endpoint is about to close. */
  void closeStale(long nowNanos) {
    for (Iterator<Pool> all = pools.values().iterator(); all.hasNext(); ) {
      Pool pool = all.next();
      closeStale(pool, nowNanos);
      if (pool.open.isEmpty()) {
        all.remove();
      }
    }
  }

  private static void closeStale(Pool pool, long nowNanos) {
    while (!pool.idle.isEmpty()) {
      EndpointLink oldest = pool.idle.peekFirst();
      if (!oldest.isClosed() && !isStale(oldest, nowNanos)) {
        return;
      }
      pool.idle.removeFirst();
      oldest.close();
    }
  }

  private static boolean isStale(EndpointLink link, long nowNanos) {
    long kept =
        link.keptMillis() == Long.MAX_VALUE
            ? DEFAULT_KEPT_MILLIS
            : Math.max(0, link.keptMillis() - CLOSE_MARGIN_MILLIS);
    return nowNanos - link.lastAnswerNanos() > TimeUnit.MILLISECONDS.toNanos(kept);
  }

  /** Closes all idle links to {@code address}: they have probably gone silent. */
  void closeIdle(HostAndPort address) {
    Pool pool = pools.get(address);
    if (pool != null) {
      new ArrayList<>(pool.idle).forEach(EndpointLink::close);
      pool.idle.clear();
    }
  }

  /** Notes that {@code link} was reset on its first request after it rested. */
  void onForgotten(HostAndPort address, EndpointLink link) {
    restLimits.recordReset(System.nanoTime(), address, link.restedMillis());
  }

  /** Closes every link. */
  void closeAll() {
    for (Pool pool : pools.values()) {
      new ArrayList<>(pool.open).forEach(EndpointLink::close);
    }
    pools.clear();
  }
}
