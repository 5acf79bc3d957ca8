package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mustardstage.core.gateway.CallerLimits;
import org.mustardstage.core.gateway.GatewayConfig;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.gateway.ServiceSpec;
import org.mustardstage.core.gateway.StorePosition;
import org.mustardstage.core.gateway.WeightedService;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.placement.EndpointLimit;
import org.mustardstage.core.placement.RequestBlock;
import org.mustardstage.core.placement.UsableEndpoint;
import org.mustardstage.core.quota.QuotaMessage;
import org.mustardstage.entry.platform.PlatformFailure;
import org.mustardstage.entry.platform.VmList;

/** Runs the control threads of two VMs that are linked over loopback. */
@Timeout(60)
class GatewayControlTest {
  private static final ServiceName ORDERS = new ServiceName("orders");
  private static final ZoneId ZONE = new ZoneId("north-a");

  /**
   * Guards against a VM that can't reach the store and misses changes: the store rejects the second
   * VM, so the configuration, the endpoint and the evacuation must reach it through the first.
   */
  @Test
  void vmThatTheStoreRejectsReceivesRowsFromAPeer() throws Exception {
    RecordingStateListener firstState = new RecordingStateListener();
    RecordingStateListener secondState = new RecordingStateListener();
    HostAndPort firstPeer = TestPorts.freeAddress();
    FakeAdapter firstAdapter = new FakeAdapter(new ReachableStore());
    GatewayControl first =
        new GatewayControl(settings("vm-1", firstPeer, List.of()), firstAdapter, 1, firstState);
    GatewayControl second =
        new GatewayControl(
            settings("vm-2", TestPorts.freeAddress(), List.of(firstPeer)),
            new FakeAdapter(new RejectingStore()),
            1,
            secondState);
    first.start();
    second.start();
    try {
      assertThat(secondState.configs.take().version(), is(new ConfigVersion(4)));
      assertThat(secondState.awaitEndpoints(1).get(ORDERS), hasSize(1));

      first.eventloop().execute(((ReachableStore) firstAdapter.rows)::evacuate);

      assertThat(firstState.awaitEndpoints(0).get(ORDERS), hasSize(0));
      assertThat(secondState.awaitEndpoints(0).get(ORDERS), hasSize(0));
    } finally {
      first.stop();
      second.stop();
    }
  }

  /**
   * Guards against keys that were taken away and are accepted by a VM without news, and against
   * keys that are not accepted while nothing changes. Two of the VMs have their news from the other
   * two.
   */
  @Test
  void keysAreAcceptedWhileThereAreNewsAndNotForLongAfterThem() throws Exception {
    IdleStore store = new IdleStore();
    HostAndPort firstPeer = TestPorts.freeAddress();
    List<GatewayControl> vms = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      HostAndPort peer = i == 0 ? firstPeer : TestPorts.freeAddress();
      List<HostAndPort> seeds = i == 0 ? List.of() : List.of(firstPeer);
      GatewaySettings settings = settings("vm-" + i, peer, seeds, OptionalLong.of(4_000));
      vms.add(
          new GatewayControl(settings, new FakeAdapter(store), 1, new RecordingStateListener()));
    }
    for (GatewayControl vm : vms) {
      vm.start();
    }
    try {
      awaitKeysAccepted(vms);
      for (int i = 0; i < 300; i++) {
        for (GatewayControl vm : vms) {
          assertThat(vms.indexOf(vm) + " after " + i, vm.acceptsKeys(), is(true));
        }
        Thread.sleep(20);
      }
      store.rejecting = true;
      Thread.sleep(6_000);
      for (GatewayControl vm : vms) {
        assertThat(vm.acceptsKeys(), is(false));
      }
      store.rejecting = false;
      awaitKeysAccepted(vms);
    } finally {
      vms.forEach(GatewayControl::stop);
    }
  }

  private static void awaitKeysAccepted(List<GatewayControl> vms) throws InterruptedException {
    for (GatewayControl vm : vms) {
      while (!vm.acceptsKeys()) {
        Thread.sleep(20);
      }
    }
  }

  /**
   * Guards against an endpoint that has left and is used again by a VM that restarts: the store
   * still says that it is ready, but its responses told the other VM that it is leaving.
   */
  @Test
  void vmThatStartsLearnsWhichEndpointsSaidThatTheyAreLeaving() throws Exception {
    RecordingStateListener firstState = new RecordingStateListener();
    RecordingStateListener secondState = new RecordingStateListener();
    HostAndPort firstPeer = TestPorts.freeAddress();
    FakeAdapter adapter = new FakeAdapter(new ReachableStore());
    GatewayControl first =
        new GatewayControl(settings("vm-1", firstPeer, List.of()), adapter, 1, firstState);
    GatewayControl second =
        new GatewayControl(
            settings("vm-2", TestPorts.freeAddress(), List.of(firstPeer)),
            new FakeAdapter(new ReachableStore()),
            1,
            secondState);
    first.start();
    RegisteredEndpoint leaving = firstState.awaitEndpoints(1).get(ORDERS).getFirst().endpoint();
    first.onEndpointLeaving(leaving);
    firstState.awaitEndpoints(0);
    second.start();
    try {
      assertThat(secondState.awaitEndpoints(0).get(ORDERS), hasSize(0));
    } finally {
      first.stop();
      second.stop();
    }
  }

  private static GatewaySettings settings(String vm, HostAndPort peer, List<HostAndPort> seeds)
      throws IOException {
    return settings(vm, peer, seeds, OptionalLong.empty());
  }

  private static GatewaySettings settings(
      String vm, HostAndPort peer, List<HostAndPort> seeds, OptionalLong keyLifetimeMillis)
      throws IOException {
    return TestSettings.ofVm(vm)
        .listenOn(TestPorts.freeAddress(), peer, TestPorts.freeAddress())
        .withSeedPeers(seeds)
        .withKeyLifetimeMillis(keyLifetimeMillis)
        .build();
  }

  private static final class RecordingStateListener implements GatewayControl.StateListener {
    private final BlockingQueue<GatewayConfig> configs = new LinkedBlockingQueue<>();
    private final BlockingQueue<ImmutableMap<ServiceName, ImmutableList<UsableEndpoint>>>
        endpoints = new LinkedBlockingQueue<>();

    @Override
    public void onConfig(GatewayConfig config) {
      configs.add(config);
    }

    @Override
    public void onEndpoints(ImmutableMap<ServiceName, ImmutableList<UsableEndpoint>> usable) {
      endpoints.add(usable);
    }

    @Override
    public void onVmsListed(int count) {}

    @Override
    public void onMembers(MemberView view) {}

    @Override
    public void onEndpointLimits(List<EndpointLimit> limits) {}

    @Override
    public ImmutableSet<EndpointLimit> limitsInForce() {
      return ImmutableSet.of();
    }

    @Override
    public void onQuotaMessage(VmId from, QuotaMessage message) {}

    @Override
    public void onRequestBlocks(List<RequestBlock> blocks) {}

    ImmutableMap<ServiceName, ImmutableList<UsableEndpoint>> awaitEndpoints(int count)
        throws InterruptedException {
      while (true) {
        ImmutableMap<ServiceName, ImmutableList<UsableEndpoint>> usable = endpoints.take();
        if (usable.getOrDefault(ORDERS, ImmutableList.of()).size() == count) {
          return usable;
        }
      }
    }
  }

  /** A store with a configuration and one endpoint, to which an evacuation is added. */
  private static final class ReachableStore implements RowStore {
    private final SettablePromise<Either<PlatformFailure, Rows>> evacuation =
        new SettablePromise<>();

    @Override
    public Promise<Either<PlatformFailure, Rows>> readAll(PlatformAdapter.Table table) {
      StoredRow row =
          switch (table) {
            case OPERATOR -> row("config", 3);
            case ENDPOINTS -> row("i-1", 2);
          };
      return Promise.of(Either.right(new Rows(List.of(row), new StorePosition(0, 5))));
    }

    @Override
    public Promise<Either<PlatformFailure, Rows>> readChanges(
        PlatformAdapter.Table table, long afterVersion, long waitMillis) {
      boolean evacuates = table == PlatformAdapter.Table.OPERATOR && afterVersion == 5;
      return evacuates ? evacuation : new SettablePromise<>();
    }

    void evacuate() {
      evacuation.set(Either.right(new Rows(List.of(row("evacuate", 6)), new StorePosition(0, 6))));
    }

    private static StoredRow row(String key, long version) {
      return new StoredRow(key, version, Optional.of(key.getBytes(StandardCharsets.UTF_8)));
    }
  }

  /** A store in which nothing changes, and that may reject every call. */
  private static final class IdleStore implements RowStore {
    private volatile boolean rejecting;

    @Override
    public Promise<Either<PlatformFailure, Rows>> readAll(PlatformAdapter.Table table) {
      return rejecting ? new RejectingStore().readAll(table) : new ReachableStore().readAll(table);
    }

    @Override
    public Promise<Either<PlatformFailure, Rows>> readChanges(
        PlatformAdapter.Table table, long afterVersion, long waitMillis) {
      return rejecting
          ? new RejectingStore().readChanges(table, afterVersion, waitMillis)
          : Promises.delay(
              waitMillis, Either.right(new Rows(List.of(), new StorePosition(0, afterVersion))));
    }
  }

  /** A store that rejects every call. */
  private static final class RejectingStore implements RowStore {
    @Override
    public Promise<Either<PlatformFailure, Rows>> readAll(PlatformAdapter.Table table) {
      return Promise.of(Either.left(new PlatformFailure.Refused(503)));
    }

    @Override
    public Promise<Either<PlatformFailure, Rows>> readChanges(
        PlatformAdapter.Table table, long afterVersion, long waitMillis) {
      return Promise.of(Either.left(new PlatformFailure.Refused(503)));
    }
  }

  private static final class FakeAdapter implements PlatformAdapter {
    private final RowStore rows;

    FakeAdapter(RowStore rows) {
      this.rows = rows;
    }

    @Override
    public HeaderNames headerNames() {
      return new HeaderNames(
          "Id",
          "Deadline",
          "Expected",
          "Self",
          "Seal",
          "Not-Run",
          "Load",
          "Cold",
          "Leaving",
          "Limit",
          "Key",
          "Tenant",
          "Object");
    }

    @Override
    public RowStore rowStore(Eventloop eventloop) {
      return rows;
    }

    @Override
    public VmList vmList(Eventloop eventloop) {
      return new RejectingVmList();
    }

    @Override
    public Either<String, OperatorRow> readOperatorRow(String key, byte[] value) {
      return Either.right(
          key.equals("config")
              ? new OperatorRow.Config(config())
              : new OperatorRow.Evacuation(ZONE));
    }

    private static GatewayConfig config() {
      RoutingRule rule =
          new RoutingRule(
              "all",
              "/",
              true,
              300,
              1,
              false,
              List.of(new WeightedService(ORDERS, 1)),
              1_000,
              2,
              ImmutableSet.of());
      return new GatewayConfig(
          new ConfigVersion(4),
          new CallerLimits(16_384, 1 << 20, 3_000, 15_000),
          List.of(new ServiceSpec(ORDERS, "/health", 700, 3_000, 17)),
          Map.of("a.example", List.of(rule)));
    }

    @Override
    public Either<String, RegisteredEndpoint> readEndpoint(String key, byte[] value) {
      return Either.right(
          new RegisteredEndpoint(
              new EndpointId(key),
              ORDERS,
              new HostAndPort("127.0.0.1", 1),
              ZONE,
              9,
              /* draining= */ false,
              0,
              1));
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
