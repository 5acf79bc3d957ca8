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
final class GatewayServer implements GatewayControl.Beliefs {
  private static final Duration NEVER = Duration.ofDays(1);
  private static final long SWEEP_MILLIS = 500;
  private static final long QUIET_CHECK_MILLIS = 20;

  private final GatewaySettings settings;
  private final PlatformAdapter deployment;
  private final GatewayMetrics metrics;
  private final Eventloop eventloop;
  private final Dispatcher dispatcher;
  private final CallerConnections callers;
  private final EndpointLinks links;
  private final GatewayServlet servlet;
  private final HttpServer callerServer;
  private final List<HttpServer> otherServers = new ArrayList<>();
  private Optional<GatewayConfig> config = Optional.empty();
  private volatile boolean refusesNew;
  private boolean stopped;

  GatewayServer(GatewaySettings settings, PlatformAdapter deployment, GatewayMetrics metrics) {
    this.settings = settings;
    this.deployment = deployment;
    this.metrics = metrics;
    this.eventloop = Eventloop.builder().withThreadName("traffic").build();
    this.dispatcher = new Dispatcher(settings, eventloop, System::nanoTime);
    HeaderNames dialect = deployment.headerNames();
    this.links = new EndpointLinks(eventloop, dialect);
    this.callers =
        new CallerConnections(
            eventloop, TrafficSettings.defaults(settings.callerAddress()), new AtomicInteger());
    this.servlet =
        new GatewayServlet(
            eventloop, () -> config, dispatcher, links, dialect, () -> refusesNew, metrics);
    this.callerServer =
        HttpServer.builder(eventloop, servlet)
            .withListenAddress(address(settings.callerAddress()))
            .withKeepAliveTimeout(NEVER)
            .withReadWriteTimeout(Duration.ZERO, NEVER)
            .withSocketInspector(callers.socketInspector())
            .withInspector(callers.httpInspector())
            .build();
  }

  private void addServers(GatewayStatus status) {
    addServer(settings.readinessAddress(), deployment.readinessServlet(eventloop, status));
    settings
        .lookupAddress()
        .ifPresent(listen -> addServer(listen, deployment.lookupServlet(eventloop, status)));
    addServer(
        settings.metricsAddress(),
        request -> HttpResponse.ok200().withBody(metrics.text()).toPromise());
  }

  @Override
  public void onConfig(GatewayConfig newer) {
    eventloop.execute(
        () -> {
          config = Optional.of(newer);
          dispatcher.onConfig(newer);
        });
  }

  @Override
  public void onEndpoints(ImmutableMap<ServiceName, ImmutableList<UsableEndpoint>> usable) {
    eventloop.execute(() -> dispatcher.onEndpoints(usable));
  }

  @Override
  public void onMembers(MemberView view) {
    eventloop.execute(() -> dispatcher.onMembers(view));
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
    sweep();
  }

  private void sweep() {
    if (stopped) {
      return;
    }
    callers.closeTimedOut();
    links.closeStale(System.nanoTime());
    eventloop.delayBackground(SWEEP_MILLIS, this::sweep);
  }

  /** Refuses new requests and closes connections that carry none. */
  void refuseNew() {
    refusesNew = true;
    eventloop.execute(() -> callerServer.close());
  }

  /** Returns once no request is being carried, or after {@code withinMillis}. */
  void awaitQuiet(long withinMillis) {
    CompletableFuture<Void> quiet = new CompletableFuture<>();
    long untilNanos = System.nanoTime() + Duration.ofMillis(withinMillis).toNanos();
    eventloop.execute(() -> checkQuiet(quiet, untilNanos));
    quiet.join();
  }

  private void checkQuiet(CompletableFuture<Void> quiet, long untilNanos) {
    if (servlet.inFlight() == 0 || System.nanoTime() - untilNanos >= 0) {
      quiet.complete(null);
      return;
    }
    eventloop.delay(QUIET_CHECK_MILLIS, () -> checkQuiet(quiet, untilNanos));
  }

  /** Closes everything and ends the thread. */
  void stop() {
    eventloop
        .submit(
            () -> {
              stopped = true;
              links.closeAll();
              List<Promise<?>> closing = new ArrayList<>();
              otherServers.forEach(server -> closing.add(server.close()));
            })
        .join();
    eventloop.keepAlive(false);
    eventloop.execute(eventloop::breakEventloop);
  }
}
