package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
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
import java.util.function.Predicate;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.overload.BufferBudget;
import org.mustardstage.core.placement.IdleConnectionLimits;
import org.mustardstage.core.transfer.TransferBudget;
import org.mustardstage.entry.http.MalformedResponses.Peers;

/** Pools the connections of one traffic thread to endpoints, or to other VMs. */
final class EndpointConnectionPool {
  /**
   * Idle connections are closed this long before the endpoint's timeout, as the endpoint could
   * otherwise close one while a request is on its way to it.
   */
  private static final long KEEP_ALIVE_MARGIN_MILLIS = 2_000;

  /** How long idle connections are kept if the endpoint sends no {@code Keep-Alive} timeout. */
  private static final long DEFAULT_KEEP_ALIVE_MILLIS = 6_000;

  /**
   * A non-idempotent request reuses a connection only if a response arrived on it this recently, as
   * its outcome is unknown if the endpoint has dropped the connection meanwhile.
   */
  private static final long MAX_NON_IDEMPOTENT_IDLE_MILLIS = 3_000;

  /** A process that has not accepted the connection by then is taken to be gone. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  private static final int MAX_CONNECTIONS_PER_ADDRESS = 64;

  private final NioReactor reactor;
  private final HeaderNames headerNames;
  private final Map<HostAndPort, AddressPool> pools = new HashMap<>();
  private final BufferBudget<EndpointConnection> responseBuffers;
  private final Peers peers;
  private final IdleConnectionLimits idleLimits = new IdleConnectionLimits();
  private long lastResponseNanos = Long.MIN_VALUE / 2;
  private long createdConnections;

  private static final class AddressPool {
    private final Deque<EndpointConnection> idle = new ArrayDeque<>();
    private final Set<EndpointConnection> open = new HashSet<>();
    private long lastResponseNanos = Long.MIN_VALUE / 2;
  }

  /** A request that was sent over a connection, and its response or why there is none. */
  record Sent(
      EndpointConnection connection,
      Promise<Either<ConnectionFailure, EndpointResponse>> response) {}

  /**
   * Creates a pool without connections.
   *
   * @param peers what the connections lead to
   * @param responseBuffers the bound on what the buffers of all incomplete responses hold together
   */
  EndpointConnectionPool(
      NioReactor reactor,
      HeaderNames headerNames,
      BufferBudget<EndpointConnection> responseBuffers,
      Peers peers) {
    this.reactor = reactor;
    this.headerNames = headerNames;
    this.responseBuffers = responseBuffers;
    this.peers = peers;
  }

  /**
   * Sends a request to {@code address} over an idle connection, or over a new one. Returns empty if
   * all connections that may be open are in use.
   *
   * @param bytes the encoded request
   */
  Optional<Sent> send(HostAndPort address, CallerRequest request, byte[] bytes) {
    return send(address, request, Optional.empty(), bytes);
  }

  /**
   * Sends a request as {@link #send(HostAndPort, CallerRequest, byte[])} does, and streams its
   * response if there is room reserved for it.
   */
  Optional<Sent> send(
      HostAndPort address,
      CallerRequest request,
      Optional<TransferBudget<String>.Transfer> transfer,
      byte[] bytes) {
    OutgoingRequest outgoing =
        new OutgoingRequest(request.id(), request.hasNoResponseBody(), transfer, bytes);
    long nowNanos = System.nanoTime();
    Optional<EndpointConnection> idle =
        findIdle(address, nowNanos, request, connection -> connection.mayCarry(request.id()));
    if (idle.isPresent()) {
      EndpointConnection connection = idle.get();
      pools.get(address).idle.remove(connection);
      return Optional.of(new Sent(connection, connection.send(outgoing)));
    }
    // One that only the id rules out is replaced, so that repeated ids don't add up connections.
    findIdle(address, nowNanos, request, any -> true).ifPresent(EndpointConnection::close);
    AddressPool pool = pools.get(address);
    if (pool != null && pool.open.size() >= MAX_CONNECTIONS_PER_ADDRESS && !closeOldestIdle(pool)) {
      return Optional.empty();
    }
    long remainingMillis = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - nowNanos);
    Duration connectTimeout =
        Duration.ofMillis(Math.clamp(remainingMillis, 1, CONNECT_TIMEOUT.toMillis()));
    EndpointConnection connection = create(address);
    return Optional.of(new Sent(connection, connection.connectAndSend(connectTimeout, outgoing)));
  }

  /**
   * Returns the idle connection on which a response arrived last, of those that are {@code usable}.
   * A non-idempotent request gets only one on which that was recently.
   */
  private Optional<EndpointConnection> findIdle(
      HostAndPort address,
      long nowNanos,
      CallerRequest request,
      Predicate<EndpointConnection> usable) {
    boolean idempotent = request.rule().idempotent();
    long maxIdleMillis =
        Math.min(
            idempotent ? Long.MAX_VALUE : MAX_NON_IDEMPOTENT_IDLE_MILLIS,
            idleLimits.maxIdleMillis(nowNanos, address, idempotent));
    AddressPool pool = pools.get(address);
    if (pool == null) {
      return Optional.empty();
    }
    closeExpired(pool, nowNanos);
    pool.idle.removeIf(connection -> !connection.isIdle());
    for (Iterator<EndpointConnection> freshestFirst = pool.idle.descendingIterator();
        freshestFirst.hasNext(); ) {
      EndpointConnection next = freshestFirst.next();
      if (nowNanos - next.lastResponseNanos() >= TimeUnit.MILLISECONDS.toNanos(maxIdleMillis)) {
        return Optional.empty();
      }
      if (usable.test(next) && !isExpired(next, nowNanos)) {
        return Optional.of(next);
      }
    }
    return Optional.empty();
  }

  /** Returns whether an idle connection to {@code address} is open that {@code request} may use. */
  boolean hasIdle(HostAndPort address, CallerRequest request) {
    return findIdle(address, System.nanoTime(), request, each -> each.mayCarry(request.id()))
        .isPresent();
  }

  private EndpointConnection create(HostAndPort address) {
    AddressPool pool = pools.computeIfAbsent(address, key -> new AddressPool());
    EndpointConnection[] self = new EndpointConnection[1];
    self[0] =
        new EndpointConnection(
            reactor,
            new InetSocketAddress(address.host(), address.port()),
            headerNames,
            responseBuffers,
            peers,
            ++createdConnections,
            () -> pool.open.remove(self[0]));
    pool.open.add(self[0]);
    return self[0];
  }

  /**
   * Sends a health check to {@code address} over a new connection, as only that shows whether new
   * connections work. Returns empty if the connections that may be open are in use.
   *
   * @param bytes the encoded health check
   */
  Optional<Sent> sendHealthCheck(HostAndPort address, byte[] bytes) {
    AddressPool pool = pools.get(address);
    if (pool != null && pool.open.size() >= MAX_CONNECTIONS_PER_ADDRESS && !closeOldestIdle(pool)) {
      return Optional.empty();
    }
    OutgoingRequest check =
        new OutgoingRequest(
            /* id= */ "", /* withoutResponseBody= */ false, Optional.empty(), bytes);
    EndpointConnection connection = create(address);
    return Optional.of(new Sent(connection, connection.connectAndSend(CONNECT_TIMEOUT, check)));
  }

  /**
   * Keeps the connection of a health check for a request that finds no other. The check says
   * nothing about how the endpoint responds to requests, so it does not count as a response.
   */
  void keepIdle(HostAndPort address, EndpointConnection connection) {
    AddressPool pool = pools.get(address);
    if (pool == null || !connection.isIdle()) {
      connection.close();
      return;
    }
    pool.idle.addFirst(connection);
  }

  private static boolean closeOldestIdle(AddressPool pool) {
    EndpointConnection oldest = pool.idle.pollFirst();
    if (oldest == null) {
      return false;
    }
    oldest.close();
    return true;
  }

  /** Returns when a response from {@code address} to any request of this thread last arrived. */
  long lastResponseNanos(HostAndPort address) {
    AddressPool pool = pools.get(address);
    return pool == null ? Long.MIN_VALUE / 2 : pool.lastResponseNanos;
  }

  /** Returns when a response from any address to any request of this thread last arrived. */
  long lastResponseNanos() {
    return lastResponseNanos;
  }

  /**
   * Returns whether {@code address} responded within the last {@code withinNanos} and a connection
   * to it is still open, so that the process there has not ended although a new connection failed.
   */
  boolean isAlive(HostAndPort address, long withinNanos) {
    AddressPool pool = pools.get(address);
    long nowNanos = System.nanoTime();
    return pool != null
        && nowNanos - pool.lastResponseNanos < withinNanos
        && pool.open.stream().anyMatch(each -> each.isOpenSince(nowNanos));
  }

  /**
   * Returns whether a connection to {@code address} that was open at {@code nanos} still is, so the
   * process there has not ended since.
   */
  boolean hasConnectionSince(HostAndPort address, long nanos) {
    AddressPool pool = pools.get(address);
    return pool != null && pool.open.stream().anyMatch(each -> each.isOpenSince(nanos));
  }

  /** Returns a connection to the pool after a response; closes it if it can't be reused. */
  void release(HostAndPort address, EndpointConnection connection) {
    AddressPool pool = pools.get(address);
    lastResponseNanos = System.nanoTime();
    if (pool != null) {
      pool.lastResponseNanos = lastResponseNanos;
    }
    if (pool == null || !connection.isIdle()) {
      connection.close();
      return;
    }
    pool.idle.addLast(connection);
  }

  /** Closes the idle connections that their endpoints are about to close. */
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

  private static boolean isExpired(EndpointConnection connection, long nowNanos) {
    long keepAliveMillis =
        connection.keepAliveMillis() == Long.MAX_VALUE
            ? DEFAULT_KEEP_ALIVE_MILLIS
            : Math.max(0, connection.keepAliveMillis() - KEEP_ALIVE_MARGIN_MILLIS);
    return nowNanos - connection.lastResponseNanos()
        > TimeUnit.MILLISECONDS.toNanos(keepAliveMillis);
  }

  /** Closes all idle connections to {@code address}, as they probably no longer respond. */
  void closeIdle(HostAndPort address) {
    AddressPool pool = pools.get(address);
    if (pool != null) {
      new ArrayList<>(pool.idle).forEach(EndpointConnection::close);
      pool.idle.clear();
    }
  }

  /** Closes all connections that have no request in flight. */
  void closeAllIdle() {
    for (HostAndPort address : ImmutableList.copyOf(pools.keySet())) {
      closeIdle(address);
    }
  }

  /** Records that {@code connection} was reset by its first request after an idle period. */
  void recordIdleReset(HostAndPort address, EndpointConnection connection) {
    idleLimits.recordReset(System.nanoTime(), address, connection.idleMillis());
  }

  /** Closes all connections, also those with a request in flight. */
  void closeAll() {
    for (AddressPool pool : pools.values()) {
      new ArrayList<>(pool.open).forEach(EndpointConnection::close);
    }
    pools.clear();
  }
}
