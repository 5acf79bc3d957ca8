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
final class EndpointConnectionPool {
  /** Links are closed this long before the endpoint would; a request may be on its way. */
  private static final long KEEP_ALIVE_MARGIN_MILLIS = 2_000;

  /** How long idle links are kept when the endpoint doesn't say. */
  private static final long DEFAULT_KEEP_ALIVE_MILLIS = 6_000;

  /** A request that must not run twice goes over a link that has answered this lately, or a new. */
  private static final long MAX_NON_IDEMPOTENT_IDLE_MILLIS = 3_000;

  private final NioReactor reactor;
  private final HeaderNames headerNames;
  private final Map<HostAndPort, AddressPool> pools = new HashMap<>();
  private final IdleConnectionLimits idleLimits = new IdleConnectionLimits();

  private static final class AddressPool {
    private final Deque<EndpointConnection> idle = new ArrayDeque<>();
    private final Set<EndpointConnection> open = new HashSet<>();
    private long lastResponseNanos = Long.MIN_VALUE / 2;
  }

  EndpointConnectionPool(NioReactor reactor, HeaderNames dialect) {
    this.reactor = reactor;
    this.headerNames = dialect;
  }

  /**
   * Returns an idle link that a request may be sent over, if there is one. A request that must not
   * run twice gets only one that has answered lately.
   */
  Optional<EndpointConnection> acquireIdle(HostAndPort address, long nowNanos, boolean idempotent) {
    long withinMillis =
        Math.min(
            idempotent ? Long.MAX_VALUE : MAX_NON_IDEMPOTENT_IDLE_MILLIS,
            idleLimits.maxIdleMillis(nowNanos, address, idempotent));
    AddressPool pool = pools.get(address);
    if (pool == null) {
      return Optional.empty();
    }
    closeExpired(pool, nowNanos);
    while (!pool.idle.isEmpty()) {
      EndpointConnection freshest = pool.idle.peekLast();
      if (!freshest.isIdle()) {
        pool.idle.removeLast();
        continue;
      }
      if (nowNanos - freshest.lastResponseNanos() >= TimeUnit.MILLISECONDS.toNanos(withinMillis)) {
        return Optional.empty();
      }
      return Optional.of(pool.idle.removeLast());
    }
    return Optional.empty();
  }

  /** Returns a link that has yet to be made, or empty if there are {@code maxOpen} already. */
  Optional<EndpointConnection> create(HostAndPort address, int maxOpen) {
    AddressPool pool = pools.computeIfAbsent(address, key -> new AddressPool());
    if (pool.open.size() >= maxOpen && !closeOldestIdle(pool)) {
      return Optional.empty();
    }
    EndpointConnection[] self = new EndpointConnection[1];
    self[0] =
        new EndpointConnection(
            reactor,
            new InetSocketAddress(address.host(), address.port()),
            headerNames,
            () -> pool.open.remove(self[0]));
    pool.open.add(self[0]);
    return Optional.of(self[0]);
  }

  private static boolean closeOldestIdle(AddressPool pool) {
    EndpointConnection oldest = pool.idle.pollFirst();
    if (oldest == null) {
      return false;
    }
    oldest.close();
    return true;
  }

  /** Returns when an endpoint at {@code address} last answered any request of this thread. */
  long lastResponseNanos(HostAndPort address) {
    AddressPool pool = pools.get(address);
    return pool == null ? Long.MIN_VALUE / 2 : pool.lastResponseNanos;
  }

  /** Takes a link back that has answered; it is used again unless it is closed. */
  void release(HostAndPort address, EndpointConnection link) {
    AddressPool pool = pools.get(address);
    if (pool != null) {
      pool.lastResponseNanos = System.nanoTime();
    }
    if (pool == null || !link.isIdle()) {
      link.close();
      return;
    }
    pool.idle.addLast(link);
  }

  /** Closes the links that the endpoint is about to close. */
  void closeExpired(long nowNanos) {
    for (Iterator<AddressPool> all = pools.values().iterator(); all.hasNext(); ) {
      AddressPool pool = all.next();
      closeExpired(pool, nowNanos);
      if (pool.open.isEmpty()) {
        all.remove();
      }
    }
  }

  private static void closeExpired(AddressPool pool, long nowNanos) {
    while (!pool.idle.isEmpty()) {
      EndpointConnection oldest = pool.idle.peekFirst();
      if (!oldest.isClosed() && !isExpired(oldest, nowNanos)) {
        return;
      }
      pool.idle.removeFirst();
      oldest.close();
    }
  }

  private static boolean isExpired(EndpointConnection link, long nowNanos) {
    long kept =
        link.keepAliveMillis() == Long.MAX_VALUE
            ? DEFAULT_KEEP_ALIVE_MILLIS
            : Math.max(0, link.keepAliveMillis() - KEEP_ALIVE_MARGIN_MILLIS);
    return nowNanos - link.lastResponseNanos() > TimeUnit.MILLISECONDS.toNanos(kept);
  }

  /** Closes all idle links to {@code address}: they have probably gone silent. */
  void closeIdle(HostAndPort address) {
    AddressPool pool = pools.get(address);
    if (pool != null) {
      new ArrayList<>(pool.idle).forEach(EndpointConnection::close);
      pool.idle.clear();
    }
  }

  /** Notes that {@code link} was reset on its first request after it rested. */
  void recordIdleReset(HostAndPort address, EndpointConnection link) {
    idleLimits.recordReset(System.nanoTime(), address, link.idleMillis());
  }

  /** Closes every link. */
  void closeAll() {
    for (AddressPool pool : pools.values()) {
      new ArrayList<>(pool.open).forEach(EndpointConnection::close);
    }
    pools.clear();
  }
}
