package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.mustardstage.core.gateway.GatewayConfig;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.placement.UsableEndpoint;
import org.mustardstage.entry.traffic.CallerConnections;
import org.mustardstage.entry.traffic.TrafficSettings;

/** The thread that carries callers' requests, and what it listens on. */
final class GatewayServer implements GatewayControl.StateListener {
  private static final Duration NO_TIMEOUT = Duration.ofDays(1);
  private static final long CONNECTION_SWEEP_INTERVAL_MILLIS = 500;
  private static final long IDLE_CHECK_INTERVAL_MILLIS = 20;

  private final GatewaySettings settings;
  private final PlatformAdapter adapter;
  private final GatewayMetrics metrics;
  private final Eventloop eventloop;
  private final Dispatcher dispatcher;
  private final CallerConnections callerConnections;
  private final EndpointConnectionPool endpointConnections;
  private final GatewayServlet servlet;
  private final HttpServer callerServer;
  private final List<HttpServer> otherServers = new ArrayList<>();
  private Optional<GatewayConfig> config = Optional.empty();
  private volatile boolean rejectsNewRequests;
  private boolean stopped;

  GatewayServer(GatewaySettings settings, PlatformAdapter deployment, GatewayMetrics metrics) {
    this.settings = settings;
    this.adapter = deployment;
    this.metrics = metrics;
    this.eventloop = Eventloop.builder().withThreadName("traffic").build();
    this.dispatcher = new Dispatcher(settings, eventloop, System::nanoTime);
    HeaderNames dialect = deployment.headerNames();
    this.endpointConnections = new EndpointConnectionPool(eventloop, dialect);
    this.callerConnections =
        new CallerConnections(
            eventloop, TrafficSettings.defaults(settings.callerAddress()), new AtomicInteger());
    this.servlet =
        new GatewayServlet(
            eventloop, () -> config, dispatcher, endpointConnections, dialect, () -> rejectsNewRequests, metrics);
    this.callerServer =
        HttpServer.builder(eventloop, servlet)
            .withListenAddress(address(settings.callerAddress()))
            .withKeepAliveTimeout(NO_TIMEOUT)
            .withReadWriteTimeout(Duration.ZERO, NO_TIMEOUT)
            .withSocketInspector(callerConnections.socketInspector())
            .withInspector(callerConnections.httpInspector())
            .build();
  }

  private void addServers(GatewayStatus status) {
    addServer(settings.readinessAddress(), adapter.readinessServlet(eventloop, status));
    settings
        .lookupAddress()
        .ifPresent(listen -> addServer(listen, adapter.lookupServlet(eventloop, status)));
    addServer(
        settings.metricsAddress(),
        request -> HttpResponse.ok200().withBody(metrics.scrape()).toPromise());
  }

  @Override
  public void onConfig(GatewayConfig newer) {
    eventloop.execute(
        () -> {
          config = Optional.of(newer);
          dispatcher.setConfig(newer);
        });
  }

  @Override
  public void onEndpoints(ImmutableMap<ServiceName, ImmutableList<UsableEndpoint>> usable) {
    eventloop.execute(() -> dispatcher.setEndpoints(usable));
  }

  @Override
  public void onMembers(MemberView view) {
    eventloop.execute(() -> dispatcher.setMembers(view));
  }

  private void addServer(HostAndPort listen, AsyncServlet answers) {
    otherServers.add(
        HttpServer.builder(eventloop, answers).withListenAddress(address(listen)).build());
  }

  private static InetSocketAddress address(HostAndPort address) {
    return new InetSocketAddress(address.host(), address.port());
  }

  /** Starts to listen; {@code status} is what those are told who ask before they send. */
  void start(GatewayStatus status) throws IOException {
    addServers(status);
    eventloop.keepAlive(true);
    new Thread(eventloop, "traffic").start();
    try {
      eventloop.submit(this::listen).join();
    } catch (CompletionException e) {
      throw new IOException("can't listen", e.getCause());
    }
  }

  private void listen() throws IOException {
    for (HttpServer server : otherServers) {
      server.listen();
    }
    callerServer.listen();
    sweepConnections();
  }

  private void sweepConnections() {
    if (stopped) {
      return;
    }
    callerConnections.closeTimedOut();
    endpointConnections.closeExpired(System.nanoTime());
    eventloop.delayBackground(CONNECTION_SWEEP_INTERVAL_MILLIS, this::sweepConnections);
  }

  /** Refuses new requests and closes connections that carry none. */
  void rejectNewRequests() {
    rejectsNewRequests = true;
    eventloop.execute(() -> callerServer.close());
  }

  /** Returns once no request is being carried, or after {@code withinMillis}. */
  void awaitIdle(long withinMillis) {
    CompletableFuture<Void> quiet = new CompletableFuture<>();
    long untilNanos = System.nanoTime() + Duration.ofMillis(withinMillis).toNanos();
    eventloop.execute(() -> checkIdle(quiet, untilNanos));
    quiet.join();
  }

  private void checkIdle(CompletableFuture<Void> quiet, long untilNanos) {
    if (servlet.inFlight() == 0 || System.nanoTime() - untilNanos >= 0) {
      quiet.complete(null);
      return;
    }
    eventloop.delay(IDLE_CHECK_INTERVAL_MILLIS, () -> checkIdle(quiet, untilNanos));
  }

  /** Closes everything and ends the thread. */
  void stop() {
    eventloop
        .submit(
            () -> {
              stopped = true;
              endpointConnections.closeAll();
              List<Promise<?>> closing = new ArrayList<>();
              otherServers.forEach(server -> closing.add(server.close()));
            })
        .join();
    eventloop.keepAlive(false);
    eventloop.execute(eventloop::breakEventloop);
  }
}
