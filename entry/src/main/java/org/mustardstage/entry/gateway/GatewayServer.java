package org.mustardstage.entry.gateway;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.entry.traffic.CallerConnections;
import org.mustardstage.entry.traffic.TrafficSettings;

/** The thread that carries callers' requests, and what it listens on. */
final class GatewayServer {
  private static final Duration NEVER = Duration.ofDays(1);
  private static final long SWEEP_MILLIS = 500;
  private static final long QUIET_CHECK_MILLIS = 20;

  private final Eventloop eventloop;
  private final CallerConnections callers;
  private final EndpointLinks links;
  private final GatewayServlet servlet;
  private final HttpServer callerServer;
  private final List<HttpServer> otherServers = new ArrayList<>();
  private volatile boolean refusesNew;
  private boolean stopped;

  GatewayServer(
      GatewaySettings settings,
      Deployment deployment,
      GatewayControl control,
      GatewayMetrics metrics) {
    this.eventloop = Eventloop.builder().withThreadName("traffic").build();
    Dialect dialect = deployment.dialect();
    this.links = new EndpointLinks(eventloop, dialect);
    this.callers =
        new CallerConnections(
            eventloop, TrafficSettings.defaults(settings.callerAddress()), new AtomicInteger());
    this.servlet =
        new GatewayServlet(
            eventloop, control::config, control, links, dialect, () -> refusesNew, metrics);
    this.callerServer =
        HttpServer.builder(eventloop, servlet)
            .withListenAddress(address(settings.callerAddress()))
            .withKeepAliveTimeout(NEVER)
            .withReadWriteTimeout(Duration.ZERO, NEVER)
            .withSocketInspector(callers.socketInspector())
            .withInspector(callers.httpInspector())
            .build();
    addServer(settings.readinessAddress(), deployment.readiness(eventloop, control));
    settings
        .lookupAddress()
        .ifPresent(listen -> addServer(listen, deployment.directory(eventloop, control)));
    addServer(
        settings.metricsAddress(),
        request ->
            HttpResponse.ok200()
                .withBody(metrics.text().getBytes(StandardCharsets.UTF_8))
                .toPromise());
  }

  private void addServer(HostAndPort listen, AsyncServlet answers) {
    otherServers.add(
        HttpServer.builder(eventloop, answers).withListenAddress(address(listen)).build());
  }

  private static InetSocketAddress address(HostAndPort address) {
    return new InetSocketAddress(address.host(), address.port());
  }

  void start() throws IOException {
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
    callers.closeSlow();
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
