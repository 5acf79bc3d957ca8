package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableSet;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.UnaryOperator;
import org.mustardstage.core.gateway.CallerLimits;
import org.mustardstage.core.gateway.GatewayConfig;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.gateway.ServiceSpec;
import org.mustardstage.core.gateway.StorePosition;
import org.mustardstage.core.gateway.WeightedService;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.entry.platform.PlatformFailure;
import org.mustardstage.entry.platform.VmList;

/**
 * Runs whole VMs in this process, linked over loopback, with a store that holds one rule and the
 * endpoints of one service.
 */
final class FakeDeployment implements AutoCloseable {
  private static final ServiceName SERVICE = new ServiceName("orders");

  /** The header by which endpoints name the requests per second that they take. */
  static final String LIMIT_HEADER = "Server-Limit";

  /** Paths below this one are for requests that are not idempotent. */
  static final String ONCE_PREFIX = "/once/";

  private final List<RegisteredEndpoint> endpoints;
  private final boolean linked;
  private final List<GatewayProcess> vms = new ArrayList<>();
  private final List<HostAndPort> callerAddresses = new CopyOnWriteArrayList<>();
  private final List<HostAndPort> peerAddresses = new ArrayList<>();
  private long answerLifetimeMillis = 100;
  private long stopWithinMillis = 1_000;

  FakeDeployment(List<FakeEndpoint> endpoints) {
    this(endpoints.stream().map(FakeEndpoint::registration).toList(), /* linked= */ true);
  }

  /** Creates a deployment whose VMs don't learn of each other if they aren't {@code linked}. */
  FakeDeployment(List<RegisteredEndpoint> endpoints, boolean linked) {
    this.endpoints = endpoints;
    this.linked = linked;
  }

  /** Sets how the VMs that start from now on stop. */
  void setStop(long lookupLifetimeMillis, long withinMillis) {
    answerLifetimeMillis = lookupLifetimeMillis;
    stopWithinMillis = withinMillis;
  }

  /** Starts one more VM, which knows the peer addresses of those before it. */
  void startVm() throws IOException {
    startVm(UnaryOperator.identity());
  }

  /**
   * Starts one more VM.
   *
   * @param addressOfEndpoint maps the address of each endpoint to the one by which this VM reaches
   *     it
   */
  void startVm(UnaryOperator<HostAndPort> addressOfEndpoint) throws IOException {
    startVm(addressOfEndpoint, config());
  }

  /** Starts one more VM, which has {@code config} in force. */
  void startVm(UnaryOperator<HostAndPort> addressOfEndpoint, GatewayConfig config)
      throws IOException {
    HostAndPort callers = TestPorts.freeAddress();
    HostAndPort peers = TestPorts.freeAddress();
    int number = callerAddresses.size() + 1;
    GatewaySettings settings =
        TestSettings.ofVm("vm-" + number)
            .listenOn(callers, peers, TestPorts.freeAddress())
            .withSeedPeers(linked ? List.copyOf(peerAddresses) : List.of())
            .withStop(answerLifetimeMillis, stopWithinMillis)
            .build();
    GatewayProcess vm = new GatewayProcess(settings, new Adapter(addressOfEndpoint, config), 1);
    vm.start();
    vms.add(vm);
    callerAddresses.add(callers);
    peerAddresses.add(peers);
  }

  /** Returns the addresses at which the VMs take requests, in the order of their start. */
  List<HostAndPort> callerAddresses() {
    return callerAddresses;
  }

  /** Stops the VM that was started first, and returns when it has stopped. */
  void stopFirstVm() {
    vms.removeFirst().stop();
  }

  @Override
  public void close() {
    vms.parallelStream().forEach(GatewayProcess::stop);
  }

  private GatewayConfig config() {
    RoutingRule all = rule("all", "/", /* idempotent= */ true);
    RoutingRule once = rule("once", ONCE_PREFIX, /* idempotent= */ false);
    return new GatewayConfig(
        new ConfigVersion(1),
        new CallerLimits(16_384, 1 << 20, 3_000, 15_000),
        List.of(new ServiceSpec(SERVICE, FakeEndpoint.HEALTH_PATH, 700, 3_000, 17)),
        Map.of("127.0.0.1", List.of(all, once)));
  }

  private static RoutingRule rule(String name, String prefix, boolean idempotent) {
    return new RoutingRule(
        name,
        prefix,
        idempotent,
        500,
        1,
        true,
        List.of(new WeightedService(SERVICE, 1)),
        2_000,
        3,
        ImmutableSet.of());
  }

  private final class Store implements RowStore {
    @Override
    public Promise<Either<PlatformFailure, Rows>> readAll(PlatformAdapter.Table table) {
      List<StoredRow> rows =
          switch (table) {
            case OPERATOR -> List.of(row("config"));
            case ENDPOINTS -> endpoints.stream().map(each -> row(each.id().value())).toList();
          };
      return Promise.of(Either.right(new Rows(rows, new StorePosition(0, 5))));
    }

    private StoredRow row(String key) {
      return new StoredRow(key, 2, Optional.of(key.getBytes(StandardCharsets.UTF_8)));
    }

    @Override
    public Promise<Either<PlatformFailure, Rows>> readChanges(
        PlatformAdapter.Table table, long afterVersion, long waitMillis) {
      return new SettablePromise<>();
    }
  }

  private final class Adapter implements PlatformAdapter {
    private final UnaryOperator<HostAndPort> addressOfEndpoint;
    private final GatewayConfig config;

    Adapter(UnaryOperator<HostAndPort> addressOfEndpoint, GatewayConfig config) {
      this.config = config;
      this.addressOfEndpoint = addressOfEndpoint;
    }

    @Override
    public HeaderNames headerNames() {
      return GatewayTestBed.HEADER_NAMES;
    }

    @Override
    public RowStore rowStore(Eventloop eventloop) {
      return new Store();
    }

    @Override
    public VmList vmList(Eventloop eventloop) {
      return new RejectingVmList();
    }

    @Override
    public Either<String, OperatorRow> readOperatorRow(String key, byte[] value) {
      return Either.right(new OperatorRow.Config(config));
    }

    @Override
    public Either<String, RegisteredEndpoint> readEndpoint(String key, byte[] value) {
      return Either.right(
          endpoints.stream()
              .filter(endpoint -> endpoint.id().value().equals(key))
              .findFirst()
              .map(this::asReached)
              .orElseThrow());
    }

    private RegisteredEndpoint asReached(RegisteredEndpoint endpoint) {
      return new RegisteredEndpoint(
          endpoint.id(),
          endpoint.service(),
          addressOfEndpoint.apply(endpoint.address()),
          endpoint.zone(),
          endpoint.slots(),
          endpoint.draining(),
          endpoint.coldRemainingMillis(),
          endpoint.startTimeMillis());
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
