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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One event loop with the callers' connections, endpoints' connections and requests on it. */
final class TrafficThread {
  private static final Logger logger = LoggerFactory.getLogger(TrafficThread.class);
  private static final Duration NEVER = Duration.ofDays(1);
  private static final long SWEEP_MILLIS = 100;
  private static final long UNUSED_POOL_NANOS = TimeUnit.MINUTES.toNanos(1);

  private final int index;
  private final TrafficSettings settings;
  private final Supplier<Snapshot> snapshot;
  private final Admission admission;
  private final Eventloop reactor;
  private final Answers answers;
  private final CallerConnections callers;
  private final HttpServer server;
  private final EndpointClient endpointClient = new EndpointClient(this);
  private final SilenceDetector silenceDetector;
  private final Map<HostAndPort, EndpointConnections> pools = new HashMap<>();
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
      KeyHomeLocator keys,
      KeyHome keyHome,
      AtomicInteger openConnections) {
    this.index = index;
    this.settings = settings;
    this.snapshot = snapshot;
    this.admission = admission;
    this.reactor = Eventloop.builder().withThreadName("traffic-" + index).build();
    this.answers = new Answers(snapshot.get().self().vm().value());
    this.callers = new CallerConnections(reactor, settings, openConnections);
    this.requestIdPrefix =
        snapshot.get().self().vm() + "-" + snapshot.get().self().number() + "-" + index + "-";
    this.silenceDetector = new SilenceDetector(this);
    CallerServlet servlet =
        new CallerServlet(
            this, new LookupServlet(this, lookup, keyHome), new KeyedRequests(this, keyHome, keys));
    this.server =
        HttpServer.builder(reactor, servlet)
            .withKeepAliveTimeout(NEVER)
            .withReadWriteTimeout(Duration.ZERO, NEVER)
            .withSocketInspector(callers.socketInspector())
            .withInspector(callers.httpInspector())
            .build();
  }

  /** Starts the event loop's thread. */
  void start() {
    reactor.keepAlive(true);
    Thread thread = new Thread(reactor, "traffic-" + index);
    thread.start();
    reactor.execute(this::onStart);
  }

  private void onStart() {
    every(SWEEP_MILLIS, this::sweep);
    silenceDetector.start();
  }

  private void sweep() {
    callers.closeTimedOut();
    long nowNanos = System.nanoTime();
    Iterator<EndpointConnections> all = pools.values().iterator();
    while (all.hasNext()) {
      EndpointConnections pool = all.next();
      pool.closeStale(nowNanos);
      if (pool.size() == 0 && !pool.usedSince(nowNanos - UNUSED_POOL_NANOS)) {
        all.remove();
      }
    }
  }

  /** Refuses new requests and completes once no request runs. */
  Promise<Void> drain() {
    stopping = true;
    SettablePromise<Void> drained = new SettablePromise<>();
    awaitQuiet(drained);
    return drained;
  }

  private void awaitQuiet(SettablePromise<Void> drained) {
    reactor.delay(
        SWEEP_MILLIS,
        () -> {
          if (callers.areAllIdle()) {
            drained.set(null);
            return;
          }
          awaitQuiet(drained);
        });
  }

  /** Closes all connections and ends the event loop. */
  Promise<Void> close() {
    stopped = true;
    callers.closeIdle();
    pools.values().forEach(EndpointConnections::closeAll);
    silenceDetector.close();
    return server.close().toVoid().whenComplete(() -> reactor.keepAlive(false));
  }

  /** Runs {@code task} again and again until the thread is closed. */
  void every(long periodMillis, Runnable task) {
    reactor.delayBackground(
        periodMillis,
        () -> {
          if (stopped) {
            return;
          }
          task.run();
          every(periodMillis, task);
        });
  }

  /** Returns the connections to an endpoint. */
  EndpointConnections connectionsTo(Endpoint endpoint) {
    EndpointConnections pool = pools.get(endpoint.address());
    if (pool != null) {
      return pool;
    }
    int sharers = settings.limits().connectionShare() * settings.trafficThreads();
    return createPool(endpoint.address(), Math.max(1, endpoint.connections() / sharers));
  }

  /** Returns the connections to another entry VM. */
  EndpointConnections connectionsToVm(HostAndPort address) {
    EndpointConnections pool = pools.get(address);
    return pool != null ? pool : createPool(address, settings.maxCallerConnections());
  }

  private EndpointConnections createPool(HostAndPort address, int maxConnections) {
    InetSocketAddress socketAddress = new InetSocketAddress(address.host(), address.port());
    EndpointConnections pool =
        new EndpointConnections(reactor, socketAddress, settings.limits(), maxConnections);
    pools.put(address, pool);
    return pool;
  }

  /** Returns a request id that no other try has. */
  String nextRequestId() {
    requestCount++;
    return requestIdPrefix + requestCount;
  }

  /** Notes a fault of the program itself. */
  void onBug(Exception e) {
    logger.error("unexpected failure", e);
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

  Answers answers() {
    return answers;
  }

  EndpointClient endpointClient() {
    return endpointClient;
  }

  SilenceDetector silenceDetector() {
    return silenceDetector;
  }

  boolean isStopping() {
    return stopping;
  }
}
