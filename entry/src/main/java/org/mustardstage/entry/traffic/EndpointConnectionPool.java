package org.mustardstage.entry.traffic;

import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The connections of one traffic thread to one endpoint. A connection is reused only within a short
 * time of its last answer, as an open connection may have gone silent.
 */
final class EndpointConnectionPool {
  private final NioReactor reactor;
  private final InetSocketAddress address;
  private final TrafficLimits limits;
  private final int maxConnections;
  private final Deque<EndpointConnection> idle = new ArrayDeque<>();
  private final Set<EndpointConnection> open = new LinkedHashSet<>();
  private long lastAcquiredNanos = System.nanoTime();

  EndpointConnectionPool(
      NioReactor reactor, InetSocketAddress address, TrafficLimits limits, int maxConnections) {
    this.reactor = reactor;
    this.address = address;
    this.limits = limits;
    this.maxConnections = maxConnections;
  }

  /** Returns a connection that answered a moment ago or is new, or empty at the limit. */
  Optional<EndpointConnection> acquire(long nowNanos) {
    lastAcquiredNanos = nowNanos;
    closeExpired(nowNanos);
    while (!idle.isEmpty()) {
      EndpointConnection connection = idle.removeLast();
      if (connection.isIdle()) {
        return Optional.of(connection);
      }
      connection.close();
    }
    return open.size() < maxConnections ? Optional.of(create()) : Optional.empty();
  }

  /** Closes the idle connections that are too old to be reused. */
  void closeExpired(long nowNanos) {
    long reuseWithinNanos = TimeUnit.MILLISECONDS.toNanos(limits.endpointIdleTimeoutMillis());
    while (!idle.isEmpty() && nowNanos - idle.peekFirst().lastReadNanos() > reuseWithinNanos) {
      idle.removeFirst().close();
    }
  }

  /** Closes all connections made before {@code nanos} that carry nothing. */
  void closeIdleCreatedBefore(long nanos) {
    List<EndpointConnection> old = idle.stream().filter(c -> c.createdNanos() - nanos < 0).toList();
    idle.removeAll(old);
    old.forEach(EndpointConnection::close);
  }

  /** Returns whether a connection made before {@code madeNanos} has answered since a time. */
  boolean hasOlderConnectionReadSince(long madeNanos, long sinceNanos) {
    return open.stream()
        .anyMatch(c -> c.createdNanos() - madeNanos < 0 && c.lastReadNanos() - sinceNanos > 0);
  }

  /** Returns a new connection that carries probes or cancels and is not counted here. */
  EndpointConnection createUnpooled() {
    return new EndpointConnection(reactor, address, limits.connectTimeoutMillis(), () -> {});
  }

  /** Closes every connection. */
  void closeAll() {
    new ArrayList<>(open).forEach(EndpointConnection::close);
  }

  /** Returns the number of connections that are open or being made. */
  int size() {
    return open.size();
  }

  /** Returns whether a request was sent to the endpoint since {@code nanos}. */
  boolean acquiredSince(long nanos) {
    return lastAcquiredNanos - nanos > 0;
  }

  private EndpointConnection create() {
    EndpointConnection[] self = new EndpointConnection[1];
    self[0] =
        new EndpointConnection(
            reactor, address, limits.connectTimeoutMillis(), () -> onStateChange(self[0]));
    open.add(self[0]);
    return self[0];
  }

  private void onStateChange(EndpointConnection connection) {
    if (!connection.isOpen()) {
      open.remove(connection);
      idle.remove(connection);
      return;
    }
    if (connection.isIdle() && !idle.contains(connection)) {
      idle.addLast(connection);
    }
  }
}
