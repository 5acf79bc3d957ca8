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
import org.mustardstage.entry.http.MalformedResponses.Peers;

/**
 * The pool of connections of one traffic thread to one endpoint. A connection is reused only within
 * a short time of the last data read on it, because an open connection may have become silent.
 */
final class EndpointConnectionPool {
  private final NioReactor reactor;
  private final InetSocketAddress address;
  private final Peers peers;
  private final TrafficLimits limits;
  private final int maxConnections;
  private final Deque<EndpointConnection> idleConnections = new ArrayDeque<>();
  private final Set<EndpointConnection> openConnections = new LinkedHashSet<>();
  private long lastAcquiredNanos = System.nanoTime();

  EndpointConnectionPool(
      NioReactor reactor,
      InetSocketAddress address,
      Peers peers,
      TrafficLimits limits,
      int maxConnections) {
    this.reactor = reactor;
    this.peers = peers;
    this.address = address;
    this.limits = limits;
    this.maxConnections = maxConnections;
  }

  /** Returns a recently used idle connection or a new one, or empty at the connection limit. */
  Optional<EndpointConnection> acquire(long nowNanos) {
    lastAcquiredNanos = nowNanos;
    closeExpired(nowNanos);
    while (!idleConnections.isEmpty()) {
      EndpointConnection connection = idleConnections.removeLast();
      if (connection.isIdle()) {
        return Optional.of(connection);
      }
      connection.close();
    }
    return openConnections.size() < maxConnections ? Optional.of(create()) : Optional.empty();
  }

  /** Closes the connections that have been idle for too long to be reused. */
  void closeExpired(long nowNanos) {
    long idleTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(limits.endpointIdleTimeoutMillis());
    while (!idleConnections.isEmpty()
        && nowNanos - idleConnections.peekFirst().lastReadNanos() > idleTimeoutNanos) {
      idleConnections.removeFirst().close();
    }
  }

  /** Closes the idle connections that were created before {@code nanos}. */
  void closeIdleCreatedBefore(long nanos) {
    List<EndpointConnection> closing =
        idleConnections.stream().filter(c -> c.createdNanos() - nanos < 0).toList();
    idleConnections.removeAll(closing);
    closing.forEach(EndpointConnection::close);
  }

  /**
   * Returns whether data was read after {@code sinceNanos} on a connection that was created before
   * {@code createdBeforeNanos}.
   */
  boolean hasOlderConnectionReadSince(long createdBeforeNanos, long sinceNanos) {
    return openConnections.stream()
        .anyMatch(
            c -> c.createdNanos() - createdBeforeNanos < 0 && c.lastReadNanos() - sinceNanos > 0);
  }

  /** Returns a new connection for probes or cancels that does not count towards the limit. */
  EndpointConnection createUnpooled() {
    return new EndpointConnection(reactor, address, peers, limits.connectTimeoutMillis(), () -> {});
  }

  /** Closes every connection. */
  void closeAll() {
    new ArrayList<>(openConnections).forEach(EndpointConnection::close);
  }

  /** Returns the number of connections that are open or being opened. */
  int size() {
    return openConnections.size();
  }

  /** Returns whether {@link #acquire} was called after {@code nanos}. */
  boolean acquiredSince(long nanos) {
    return lastAcquiredNanos - nanos > 0;
  }

  private EndpointConnection create() {
    EndpointConnection[] self = new EndpointConnection[1];
    self[0] =
        new EndpointConnection(
            reactor, address, peers, limits.connectTimeoutMillis(), () -> onStateChange(self[0]));
    openConnections.add(self[0]);
    return self[0];
  }

  private void onStateChange(EndpointConnection connection) {
    if (!connection.isOpen()) {
      openConnections.remove(connection);
      idleConnections.remove(connection);
      return;
    }
    if (connection.isIdle() && !idleConnections.contains(connection)) {
      idleConnections.addLast(connection);
    }
  }
}
