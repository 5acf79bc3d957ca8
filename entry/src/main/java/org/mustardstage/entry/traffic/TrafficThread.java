package org.mustardstage.entry.traffic;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.entry.control.Admission;
import org.mustardstage.entry.control.Snapshot;
import org.mustardstage.entry.http.MalformedResponses.Peers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One event loop with its caller connections, endpoint connections and requests. */
final class TrafficThread {
  private static final Logger logger = LoggerFactory.getLogger(TrafficThread.class);
  // CallerConnections enforces the timeouts instead of the HTTP server.
  private static final Duration NO_TIMEOUT = Duration.ofDays(1);
  private static final long SWEEP_PERIOD_MILLIS = 100;
  private static final long UNUSED_POOL_TIMEOUT_NANOS = TimeUnit.MINUTES.toNanos(1);

  private final int index;
  private final TrafficSettings settings;
  private final Supplier<Snapshot> snapshot;
  private final Admission admission;
  private final Eventloop reactor;
  private final ResponseFactory responses;
  private final CallerConnections callers;
  private final HttpServer server;
  private final EndpointControlClient controlClient = new EndpointControlClient(this);
  private final SilentConnectionDetector silentConnectionDetector;
  private final Map<HostAndPort, EndpointConnectionPool> pools = new HashMap<>();
  private final String requestIdPrefix;
  private long requestCount;
  private boolean stopping;
  private boolean stopped;

  TrafficThread(
      int index,
      TrafficSettings settings,
      Supplier<Snapshot> snapshot,
      Admission admission,
      LookupHandler lookup,
      KeyHomeLocator homeLocator,
      IdempotencyKeyRegistry keyRegistry,
      AtomicInteger openConnections) {
    this.index = index;
    this.settings = settings;
    this.snapshot = snapshot;
    this.admission = admission;
    this.reactor = Eventloop.builder().withThreadName("traffic-" + index).build();
    this.responses = new ResponseFactory(snapshot.get().self().vm().value());
    this.callers = new CallerConnections(reactor, settings, openConnections);
    this.requestIdPrefix =
        snapshot.get().self().vm() + "-" + snapshot.get().self().number() + "-" + index + "-";
    this.silentConnectionDetector = new SilentConnectionDetector(this);
    CallerServlet servlet =
        new CallerServlet(
            this,
            new LookupServlet(this, lookup, keyRegistry),
            new KeyedRequestHandler(this, keyRegistry, homeLocator));
    this.server =
        HttpServer.builder(reactor, servlet)
            .withKeepAliveTimeout(NO_TIMEOUT)
            .withReadWriteTimeout(Duration.ZERO, NO_TIMEOUT)
            .withSocketInspector(callers.socketInspector())
            .withInspector(callers.httpInspector())
            .build();
  }

  /** Starts the thread of the event loop. */
  void start() {
    reactor.keepAlive(true);
    Thread thread = new Thread(reactor, "traffic-" + index);
    thread.start();
    reactor.execute(this::onStart);
  }

  private void onStart() {
    runPeriodically(SWEEP_PERIOD_MILLIS, this::sweep);
    silentConnectionDetector.start();
  }

  private void sweep() {
    callers.closeTimedOut();
    long nowNanos = System.nanoTime();
    Iterator<EndpointConnectionPool> iterator = pools.values().iterator();
    while (iterator.hasNext()) {
      EndpointConnectionPool pool = iterator.next();
      pool.closeExpired(nowNanos);
      if (pool.size() == 0 && !pool.acquiredSince(nowNanos - UNUSED_POOL_TIMEOUT_NANOS)) {
        iterator.remove();
      }
    }
  }

  /** Rejects new requests from now on. The promise completes once no request is running. */
  Promise<Void> drain() {
    stopping = true;
    SettablePromise<Void> drained = new SettablePromise<>();
    awaitIdle(drained);
    return drained;
  }

  private void awaitIdle(SettablePromise<Void> drained) {
    reactor.delay(
        SWEEP_PERIOD_MILLIS,
        () -> {
          if (callers.areAllIdle()) {
            drained.set(null);
            return;
          }
          awaitIdle(drained);
        });
  }

  /** Closes all connections and stops the event loop. */
  Promise<Void> close() {
    stopped = true;
    callers.closeIdle();
    pools.values().forEach(EndpointConnectionPool::closeAll);
    silentConnectionDetector.close();
    return server.close().toVoid().whenComplete(() -> reactor.keepAlive(false));
  }

  /** Runs {@code task} periodically until the thread is closed. */
  void runPeriodically(long periodMillis, Runnable task) {
    reactor.delayBackground(
        periodMillis,
        () -> {
          if (stopped) {
            return;
          }
          task.run();
          runPeriodically(periodMillis, task);
        });
  }

  /**
   * Returns the connection pool of an endpoint. Its size is an equal part of the endpoint's
   * connection limit, which all traffic threads of the entry VMs share.
   */
  EndpointConnectionPool poolFor(Endpoint endpoint) {
    EndpointConnectionPool pool = pools.get(endpoint.address());
    if (pool != null) {
      return pool;
    }
    int sharers = settings.limits().vmsSharingEndpoint() * settings.trafficThreads();
    return createPool(
        endpoint.address(), Peers.ENDPOINTS, Math.max(1, endpoint.connections() / sharers));
  }

  /** Returns the connection pool of another entry VM. */
  EndpointConnectionPool poolForVm(HostAndPort address) {
    EndpointConnectionPool pool = pools.get(address);
    return pool != null ? pool : createPool(address, Peers.VMS, settings.maxCallerConnections());
  }

  private EndpointConnectionPool createPool(HostAndPort address, Peers peers, int maxConnections) {
    InetSocketAddress socketAddress = new InetSocketAddress(address.host(), address.port());
    EndpointConnectionPool pool =
        new EndpointConnectionPool(
            reactor, socketAddress, peers, settings.limits(), maxConnections);
    pools.put(address, pool);
    return pool;
  }

  /** Returns a request id that is unique to one attempt. */
  String nextRequestId() {
    requestCount++;
    return requestIdPrefix + requestCount;
  }

  /** Logs an exception that can only be caused by a programming error. */
  void logUnexpectedFailure(Exception e) {
    logger.error("unexpected exception on a traffic thread", e);
  }

  NioReactor reactor() {
    return reactor;
  }

  HttpServer server() {
    return server;
  }

  TrafficSettings settings() {
    return settings;
  }

  TrafficLimits limits() {
    return settings.limits();
  }

  Snapshot snapshot() {
    return snapshot.get();
  }

  Admission admission() {
    return admission;
  }

  ResponseFactory responses() {
    return responses;
  }

  EndpointControlClient controlClient() {
    return controlClient;
  }

  SilentConnectionDetector silentConnectionDetector() {
    return silentConnectionDetector;
  }

  boolean isStopping() {
    return stopping;
  }
}
