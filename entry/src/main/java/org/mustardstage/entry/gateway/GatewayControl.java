package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.activej.eventloop.Eventloop;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.mustardstage.core.gateway.GatewayConfig;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.lookup.LargeVmSelector;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberAction;
import org.mustardstage.core.member.MemberStatus;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.member.Membership;
import org.mustardstage.core.member.MembershipSettings;
import org.mustardstage.core.placement.EndpointRegistry;
import org.mustardstage.core.placement.UsableEndpoint;
import org.mustardstage.entry.gateway.RowStore.StoredRow;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;
import org.mustardstage.entry.peer.PeerMessage;
import org.mustardstage.entry.peer.PeerNetwork;
import org.mustardstage.entry.platform.PlatformFailure;
import org.mustardstage.entry.platform.VmList;

/**
 * Maintains the control state of a VM on a platform that describes deployments by routes: the
 * configuration and evacuations, the endpoints, and the membership. Publishes changes to a {@link
 * StateListener}. Runs on the control thread.
 */
final class GatewayControl implements GatewayStatus {
  private static final long TICK_MILLIS = 100;
  private static final long LINK_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long VM_LIST_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long ANNOUNCE_RETRY_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long MISSED_HEARTBEATS_UNTIL_SILENT = 4;

  /** A VM that has run for this long knows the members of every region that still has VMs. */
  private static final long REGION_DISCOVERY_NANOS = TimeUnit.SECONDS.toNanos(6);

  /**
   * The store responds to a change by operators at once. The wait of 4 s is also the time after
   * which a connection that no longer responds is noticed.
   */
  private static final TableReplica.PollSettings OPERATOR_POLL_SETTINGS =
      new TableReplica.PollSettings(4_000, 50);

  /**
   * Endpoints write all the time, so changes are batched. A reader sends a message to the other VMs
   * after each read, at most twice a second, which shows them that it still reads.
   */
  private static final TableReplica.PollSettings ENDPOINT_POLL_SETTINGS =
      new TableReplica.PollSettings(500, 500);

  private final GatewaySettings settings;
  private final PlatformAdapter adapter;
  private final Eventloop eventloop;
  private final LongSupplier clock = System::nanoTime;
  private final MembershipSettings membershipSettings = MembershipSettings.forSmallVms();
  private final Membership membership;
  private final PeerNetwork network;
  private final VmList vmList;
  private final TableReplica operatorTable;
  private final TableReplica endpointTable;
  private final RowReplicator rowReplicator;
  private final long createdNanos = System.nanoTime();
  private final EndpointRegistry endpointRegistry = new EndpointRegistry();
  private final StateListener stateListener;
  private ImmutableMap<ServiceName, ImmutableList<UsableEndpoint>> publishedEndpoints =
      ImmutableMap.of();
  private final Map<String, ZoneId> evacuations = new HashMap<>();
  private final AtomicReference<Optional<GatewayConfig>> config =
      new AtomicReference<>(Optional.empty());
  private final AtomicReference<MemberView> memberView;
  private Member self;
  private volatile boolean endpointsKnown;
  private volatile boolean leaving;
  private long lastVmListReadNanos = Long.MIN_VALUE / 2;
  private long lastAnnounceNanos = Long.MIN_VALUE / 2;
  private boolean announced;
  private long lastLinkCheckNanos = Long.MIN_VALUE / 2;

  /** Receives changes of the control state, on the control thread. */
  interface StateListener {
    /** Called when a newer version of the configuration becomes active. */
    void onConfig(GatewayConfig config);

    /** Called when the endpoints that may receive new requests have changed. */
    void onEndpoints(ImmutableMap<ServiceName, ImmutableList<UsableEndpoint>> usable);

    /** Called when the view of the VMs has changed. */
    void onMembers(MemberView view);
  }

  GatewayControl(
      GatewaySettings settings,
      PlatformAdapter adapter,
      long incarnationNumber,
      StateListener stateListener) {
    this.stateListener = stateListener;
    this.settings = settings;
    this.adapter = adapter;
    this.self =
        new Member(
            new VmIncarnation(settings.vm(), incarnationNumber),
            settings.zone(),
            settings.region(),
            settings.callerAddress(),
            settings.peerAddress(),
            settings.metricsAddress(),
            /* leaving= */ false,
            settings.milliCores());
    this.eventloop =
        Eventloop.builder()
            .withThreadName("control")
            .withFatalErrorHandler((e, context) -> EventLog.log(Event.CONTROL_FAULT, e))
            .build();
    this.membership = new Membership(membershipSettings, self, clock.getAsLong());
    this.memberView = new AtomicReference<>(membership.view(clock.getAsLong()));
    this.network = new PeerNetwork(eventloop, () -> self, clock, new PeerReceiver());
    RowStore store = adapter.rowStore(eventloop);
    this.vmList = adapter.vmList(eventloop);
    TableReplica.Scheduler scheduler = (delayMillis, task) -> eventloop.delay(delayMillis, task);
    this.operatorTable =
        new TableReplica(
            store,
            PlatformAdapter.Table.OPERATOR,
            OPERATOR_POLL_SETTINGS,
            scheduler,
            row -> row.value().map(ByteBuffer::wrap),
            new OperatorListener());
    this.endpointTable =
        new TableReplica(
            store,
            PlatformAdapter.Table.ENDPOINTS,
            ENDPOINT_POLL_SETTINGS,
            scheduler,
            this::readEndpoint,
            new EndpointListener());
    this.rowReplicator =
        new RowReplicator(
            settings.vm(),
            settings.region(),
            ImmutableMap.of(
                PlatformAdapter.Table.OPERATOR,
                operatorTable,
                PlatformAdapter.Table.ENDPOINTS,
                endpointTable),
            network::send);
  }

  void start() throws IOException {
    eventloop.keepAlive(true);
    new Thread(eventloop, "control").start();
    try {
      eventloop.submit(this::startOnLoop).join();
    } catch (CompletionException e) {
      throw new IOException("can't listen on " + settings.peerAddress(), e.getCause());
    }
  }

  private void startOnLoop() throws IOException {
    operatorTable.start();
    endpointTable.start();
    network.start();
    settings.seedPeers().forEach(network::connect);
    tick();
  }

  Eventloop eventloop() {
    return eventloop;
  }

  Optional<GatewayConfig> config() {
    return config.get();
  }

  private void tick() {
    try {
      onTick(clock.getAsLong());
    } catch (RuntimeException e) {
      EventLog.log(Event.CONTROL_FAULT, e);
    }
    eventloop.delay(TICK_MILLIS, this::tick);
  }

  private void onTick(long nowNanos) {
    execute(membership.tick(nowNanos));
    if (nowNanos - lastLinkCheckNanos >= LINK_CHECK_INTERVAL_NANOS) {
      lastLinkCheckNanos = nowNanos;
      network.closeSilentLinks();
    }
    if (endpointRegistry.removeMissingEntries(nowNanos)) {
      publishEndpoints();
    }
    rowReplicator.onTick(nowNanos, memberView.get(), leaving);
    readVmList(nowNanos);
    announceSelf(nowNanos);
  }

  private void readVmList(long nowNanos) {
    boolean alone = memberView.get().statuses().size() <= 1;
    if (nowNanos - lastVmListReadNanos < VM_LIST_INTERVAL_NANOS || !alone) {
      return;
    }
    lastVmListReadNanos = nowNanos;
    vmList
        .read()
        .whenResult(
            read -> read.peek(list -> execute(membership.applyVmList(clock.getAsLong(), list))));
  }

  /**
   * Writes this incarnation to the list of VMs, once. From then on, the other VMs learn about it by
   * membership messages.
   */
  private void announceSelf(long nowNanos) {
    if (announced || nowNanos - lastAnnounceNanos < ANNOUNCE_RETRY_INTERVAL_NANOS) {
      return;
    }
    lastAnnounceNanos = nowNanos;
    vmList.announce(self).whenResult(result -> announced |= result.isRight());
  }

  private void execute(List<MemberAction> actions) {
    for (MemberAction action : actions) {
      switch (action) {
        case MemberAction.SendMessage send ->
            network.send(send.to(), new PeerMessage.Membership(send.message()));
        case MemberAction.ViewChanged changed -> publishMembers();
      }
    }
  }

  private void publishMembers() {
    MemberView view = membership.view(clock.getAsLong());
    memberView.set(view);
    stateListener.onMembers(view);
    EventLog.log(
        Event.MEMBERS_CHANGED,
        "alive",
        view.statuses().stream().filter(MemberStatus::isAlive).count(),
        "silentZones",
        view.silentZones());
  }

  @Override
  public boolean isReady() {
    return !leaving && config.get().isPresent() && endpointsKnown;
  }

  @Override
  public boolean isHostConfigured(String host) {
    return config.get().filter(active -> active.hasHost(host)).isPresent();
  }

  @Override
  public long lookupTtlMillis() {
    return settings.answerLifetimeMillis();
  }

  @Override
  public ImmutableList<HostAndPort> vmsFor(RegionId region, ZoneId zone) {
    ImmutableList<Member> servingMembers =
        memberView.get().membersAcceptingCallers().stream()
            .filter(member -> !member.vm().equals(settings.vm()) || isReady())
            .collect(ImmutableList.toImmutableList());
    ImmutableList<HostAndPort> inZone =
        addresses(servingMembers, member -> member.zone().equals(zone));
    if (!inZone.isEmpty()) {
      return inZone;
    }
    ImmutableList<HostAndPort> inRegion =
        addresses(servingMembers, member -> member.region().equals(region));
    if (!inRegion.isEmpty() || clock.getAsLong() - createdNanos < REGION_DISCOVERY_NANOS) {
      return inRegion;
    }
    return addresses(servingMembers, member -> true);
  }

  private static ImmutableList<HostAndPort> addresses(
      List<Member> members, Predicate<Member> wanted) {
    return LargeVmSelector.select(members.stream().filter(wanted).toList()).stream()
        .map(Member::trafficAddress)
        .collect(ImmutableList.toImmutableList());
  }

  /** Removes this VM from lookup responses and tells the other VMs that it is leaving. */
  void leave() {
    eventloop.execute(
        () -> {
          leaving = true;
          self = self.asLeaving();
          execute(membership.leave(clock.getAsLong()));
        });
  }

  void stop() {
    eventloop
        .submit(
            () -> {
              operatorTable.stop();
              endpointTable.stop();
              return network.stop().toVoid();
            })
        .join();
    eventloop.keepAlive(false);
    eventloop.execute(eventloop::breakEventloop);
  }

  private void onOperatorRows(List<StoredRow> changed) {
    long nowNanos = clock.getAsLong();
    for (StoredRow row : changed) {
      if (row.value().isEmpty()) {
        evacuations.remove(row.key());
        continue;
      }
      Either<String, PlatformAdapter.OperatorRow> read =
          adapter.readOperatorRow(row.key(), row.value().get());
      if (read.isLeft()) {
        EventLog.log(
            Event.ROW_UNREADABLE,
            "table",
            PlatformAdapter.Table.OPERATOR,
            "key",
            row.key(),
            "version",
            row.version(),
            "why",
            read.getLeft());
        continue;
      }
      switch (read.get()) {
        case PlatformAdapter.OperatorRow.Config declared -> onConfig(declared.config());
        case PlatformAdapter.OperatorRow.Evacuation evacuation ->
            evacuations.put(row.key(), evacuation.zone());
        case PlatformAdapter.OperatorRow.Other other -> {}
      }
    }
    Set<ZoneId> zones = ImmutableSet.copyOf(evacuations.values());
    if (endpointRegistry.setEvacuatedZones(nowNanos, zones)) {
      EventLog.log(Event.EVACUATIONS_CHANGED, "zones", zones);
    }
    publishEndpoints();
  }

  private void publishEndpoints() {
    ImmutableMap.Builder<ServiceName, ImmutableList<UsableEndpoint>> byService =
        ImmutableMap.builder();
    config
        .get()
        .ifPresent(
            active ->
                active
                    .services()
                    .keySet()
                    .forEach(
                        service ->
                            byService.put(service, endpointRegistry.usableEndpoints(service))));
    ImmutableMap<ServiceName, ImmutableList<UsableEndpoint>> usable = byService.buildOrThrow();
    if (!usable.equals(publishedEndpoints)) {
      publishedEndpoints = usable;
      stateListener.onEndpoints(usable);
    }
  }

  private void onConfig(GatewayConfig newer) {
    Optional<GatewayConfig> active = config.get();
    if (active.isPresent() && active.get().version().compareTo(newer.version()) >= 0) {
      return;
    }
    config.set(Optional.of(newer));
    membership.setConfigVersion(newer.version());
    stateListener.onConfig(newer);
    publishEndpoints();
    EventLog.log(Event.CONFIG_IN_FORCE, "version", newer.version());
  }

  private void onEndpointRows(List<StoredRow> changed) {
    long nowNanos = clock.getAsLong();
    for (StoredRow row : changed) {
      Either<String, RegisteredEndpoint> read = readEndpoint(row);
      if (read.isRight()) {
        if (endpointRegistry.updateEntry(nowNanos, read.get())) {
          RegisteredEndpoint endpoint = read.get();
          EventLog.log(
              endpoint.draining() ? Event.ENDPOINT_LEAVING : Event.ENDPOINT_REGISTERED,
              "endpoint",
              endpoint.id(),
              "service",
              endpoint.service(),
              "address",
              endpoint.address(),
              "zone",
              endpoint.zone(),
              "coldLeftMillis",
              endpoint.coldRemainingMillis(),
              "rowVersion",
              row.version());
        }
        continue;
      }
      removeEndpoint(nowNanos, row, read.getLeft());
    }
    endpointsKnown = true;
    publishEndpoints();
  }

  private Either<String, RegisteredEndpoint> readEndpoint(StoredRow row) {
    return row.value().isEmpty()
        ? Either.left("the row was removed from the table")
        : adapter.readEndpoint(row.key(), row.value().get());
  }

  private void removeEndpoint(long nowNanos, StoredRow row, String reason) {
    EndpointId id;
    try {
      id = new EndpointId(row.key());
    } catch (IllegalArgumentException e) {
      EventLog.log(
          Event.ROW_UNREADABLE,
          "table",
          PlatformAdapter.Table.ENDPOINTS,
          "key",
          row.key(),
          "version",
          row.version(),
          "why",
          e.getMessage());
      return;
    }
    if (endpointRegistry.removeEntry(nowNanos, id)) {
      EventLog.log(
          Event.ENDPOINT_LEAVING, "endpoint", id, "why", reason, "rowVersion", row.version());
    }
  }

  private final class OperatorListener implements TableReplica.Listener {
    @Override
    public void onRowsChanged(List<StoredRow> changed, boolean loaded) {
      onOperatorRows(changed);
    }

    @Override
    public void onStoreReachabilityChanged(boolean reachable, Optional<PlatformFailure> failure) {
      logStoreReachability(PlatformAdapter.Table.OPERATOR, reachable, failure);
    }

    @Override
    public void onStoreRead() {
      rowReplicator.sendChanges(PlatformAdapter.Table.OPERATOR, memberView.get(), leaving);
    }
  }

  private final class EndpointListener implements TableReplica.Listener {
    @Override
    public void onRowsChanged(List<StoredRow> changed, boolean loaded) {
      onEndpointRows(changed);
    }

    @Override
    public void onStoreReachabilityChanged(boolean reachable, Optional<PlatformFailure> failure) {
      endpointRegistry.setRegistryAvailable(clock.getAsLong(), reachable);
      if (!reachable) {
        operatorTable.replaceWaitingCall();
      }
      logStoreReachability(PlatformAdapter.Table.ENDPOINTS, reachable, failure);
    }

    @Override
    public void onStoreRead() {
      rowReplicator.sendChanges(PlatformAdapter.Table.ENDPOINTS, memberView.get(), leaving);
    }
  }

  private static void logStoreReachability(
      PlatformAdapter.Table table, boolean reachable, Optional<PlatformFailure> failure) {
    EventLog.log(
        reachable ? Event.PLATFORM_BACK : Event.PLATFORM_LOST,
        "table",
        table,
        "why",
        failure.map(Object::toString).orElse(""));
  }

  /** Dispatches the messages of other VMs. */
  private final class PeerReceiver implements PeerNetwork.Receiver {
    @Override
    public void onHello(Member from) {
      execute(membership.addPeer(clock.getAsLong(), from));
    }

    @Override
    public void onMessage(Member from, PeerMessage message) {
      switch (message) {
        case PeerMessage.Hello hello -> onHello(hello.member());
        case PeerMessage.Membership of ->
            execute(membership.applyMessage(clock.getAsLong(), from, of.message()));
        case PeerMessage.RowsRequest wanted -> rowReplicator.onRowsWanted(from, wanted);
        case PeerMessage.RowsUpdate known ->
            rowReplicator.onRowsKnown(clock.getAsLong(), from, known);
        default ->
            EventLog.log(
                Event.BAD_FRAME,
                "vm",
                from.incarnation(),
                "why",
                "message type is not used by gateways");
      }
    }

    @Override
    public long silenceTimeoutNanos(Member member) {
      long periodNanos =
          member.zone().equals(self.zone())
              ? membershipSettings.heartbeatIntervalNanos(memberView.get().aliveInOwnZone().size())
              : membershipSettings.otherRegionHeartbeatIntervalNanos();
      return MISSED_HEARTBEATS_UNTIL_SILENT * periodNanos;
    }
  }
}
