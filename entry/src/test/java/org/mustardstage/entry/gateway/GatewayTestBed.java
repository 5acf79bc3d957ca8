package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpResponse;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.mustardstage.core.gateway.CallerLimits;
import org.mustardstage.core.gateway.GatewayConfig;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.gateway.ServiceSpec;
import org.mustardstage.core.gateway.WeightedService;
import org.mustardstage.core.hedge.HedgeSettings;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.placement.UsableEndpoint;
import org.mustardstage.entry.platform.VmList;

/** Runs a gateway between real sockets of callers and two endpoints, before each test. */
abstract class GatewayTestBed {
  static final ServiceName ORDERS = new ServiceName("orders");

  /** The heap for which the gateway bounds its buffers: the one of the deployment. */
  static final long HEAP_BYTES = 160L << 20;

  /** The service of the paths that begin with {@code /reports/}. */
  static final ServiceName REPORTS = new ServiceName("reports");

  /** The names of the users' platform. */
  static final HeaderNames HEADER_NAMES =
      new HeaderNames(
          "X-Request-Id",
          "X-Deadline-Ms",
          "X-Expect-Instance",
          "X-Instance-Id",
          "X-Server-Seal",
          "X-Not-Executed",
          "X-Server-Load",
          "X-Cold-Ms",
          "Server-Leaving",
          "Server-Limit",
          "X-Key",
          "X-Tenant",
          "X-Affinity-Key");

  static final String NON_IDEMPOTENT_PATH = "/book/1";
  static final String IDEMPOTENT_PATH = "/look/1";

  private final HttpClient client = HttpClient.newHttpClient();
  FakeEndpoint first;
  FakeEndpoint second;
  GatewayServer server;
  GatewayMetrics metrics;
  HostAndPort address;
  HostAndPort metricsAddress;
  private boolean serverStopped;

  @BeforeEach
  void start() throws IOException {
    first = new FakeEndpoint("i-1");
    second = new FakeEndpoint("i-2");
    address = TestPorts.freeAddress();
    metrics = new GatewayMetrics();
    metricsAddress = TestPorts.freeAddress();
    server =
        new GatewayServer(
            settings(address, metricsAddress), new FakeAdapter(), metrics, HEAP_BYTES);
    server.start(new ReadyStatus());
    server.onConfig(config());
    publish(first, second);
  }

  @AfterEach
  void stop() throws IOException {
    stopServer();
    first.close();
    second.close();
    client.close();
  }

  /** Stops the gateway, unless the test has done so. */
  void stopServer() {
    if (!serverStopped) {
      serverStopped = true;
      server.stop();
    }
  }

  /** Publishes the endpoints and waits until the traffic thread uses them. */
  void publish(ImmutableList<UsableEndpoint> usable) {
    publish(ImmutableMap.of(ORDERS, usable));
  }

  void publish(ImmutableMap<ServiceName, ImmutableList<UsableEndpoint>> usable) {
    server.onEndpoints(usable);
    server.awaitIdle(1_000);
  }

  void publish(FakeEndpoint... endpoints) {
    ImmutableList.Builder<UsableEndpoint> usable = ImmutableList.builder();
    for (FakeEndpoint endpoint : endpoints) {
      usable.add(new UsableEndpoint(endpoint.registration(), 0));
    }
    publish(usable.build());
  }

  java.net.http.HttpResponse<String> get(String path) throws Exception {
    return client.send(request(path).GET().build(), BodyHandlers.ofString());
  }

  java.net.http.HttpResponse<String> post(String path, String body) throws Exception {
    return client.send(
        request(path).POST(BodyPublishers.ofString(body)).build(), BodyHandlers.ofString());
  }

  /** Sends {@code request} as a POST with a short body. */
  java.net.http.HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
    return client.send(request.POST(BodyPublishers.ofString("x")).build(), BodyHandlers.ofString());
  }

  HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path))
        .version(HttpClient.Version.HTTP_1_1)
        .header("X-Request-Id", "r-1")
        .header("X-Deadline-Ms", "30000");
  }

  private GatewaySettings settings(HostAndPort address, HostAndPort metricsAddress)
      throws IOException {
    return TestSettings.ofVm("vm-1")
        .listenOn(address, TestPorts.freeAddress(), metricsAddress)
        .withMaxDescriptors(maxDescriptors())
        .withHedging(hedging())
        .build();
  }

  /** Returns how many descriptors the gateway may use. */
  int maxDescriptors() {
    return 1_024;
  }

  /** Returns the limit on hedges, which tests of hedging override. */
  HedgeSettings hedging() {
    return HedgeSettings.OFF;
  }

  private GatewayConfig config() {
    return config(1, new CallerLimits(16_384, 1 << 20, 3_000, 15_000));
  }

  /** Returns a version of the configuration that differs from the others in its limits only. */
  static GatewayConfig config(int version, CallerLimits limits) {
    return new GatewayConfig(
        new ConfigVersion(version),
        limits,
        List.of(
            new ServiceSpec(ORDERS, "/health", 700, 3_000, 17),
            new ServiceSpec(REPORTS, "/health", 700, 3_000, 17)),
        Map.of(
            "127.0.0.1",
            List.of(
                rule("look", true, 5_000, ORDERS),
                rule("book", false, 1_000, ORDERS),
                rule("brief", false, 200, ORDERS),
                rule("reports", false, 3_000, REPORTS),
                largeRule("bundles", 3_000, REPORTS))));
  }

  private static RoutingRule largeRule(String name, long timeoutMillis, ServiceName service) {
    return new RoutingRule(
        name,
        "/" + name + "/",
        /* idempotent= */ true,
        300,
        1,
        /* affinity= */ false,
        List.of(new WeightedService(service, 1)),
        timeoutMillis,
        2,
        ImmutableSet.of(),
        /* anonymous= */ true,
        /* largeResponses= */ true);
  }

  private static RoutingRule rule(
      String name, boolean idempotent, long timeoutMillis, ServiceName service) {
    return new RoutingRule(
        name,
        "/" + name + "/",
        idempotent,
        300,
        1,
        true,
        List.of(new WeightedService(service, 1)),
        timeoutMillis,
        2,
        ImmutableSet.of());
  }

  private static final class ReadyStatus implements GatewayStatus {
    @Override
    public boolean isReady() {
      return true;
    }

    @Override
    public boolean isHostConfigured(String host) {
      return true;
    }

    @Override
    public ImmutableList<HostAndPort> vmsFor(RegionId region, ZoneId zone) {
      return ImmutableList.of();
    }

    @Override
    public long lookupTtlMillis() {
      return 1_000;
    }
  }

  /** An adapter of a traffic thread, which reads no tables. */
  static class FakeAdapter implements PlatformAdapter {
    @Override
    public HeaderNames headerNames() {
      return HEADER_NAMES;
    }

    @Override
    public RowStore rowStore(Eventloop eventloop) {
      throw new UnsupportedOperationException("not used by the traffic thread");
    }

    @Override
    public VmList vmList(Eventloop eventloop) {
      throw new UnsupportedOperationException("not used by the traffic thread");
    }

    @Override
    public Either<String, OperatorRow> readOperatorRow(String key, byte[] value) {
      throw new UnsupportedOperationException("not used by the traffic thread");
    }

    @Override
    public Either<String, RegisteredEndpoint> readEndpoint(String key, byte[] value) {
      throw new UnsupportedOperationException("not used by the traffic thread");
    }

    @Override
    public AsyncServlet readinessServlet(Eventloop eventloop, GatewayStatus status) {
      return request -> HttpResponse.ok200().toPromise();
    }

    @Override
    public AsyncServlet lookupServlet(Eventloop eventloop, GatewayStatus status) {
      return request -> HttpResponse.ok200().toPromise();
    }
  }
}
