package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.mustardstage.core.gateway.GatewayConfig;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.gateway.StorePosition;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.VmId;
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
import org.mustardstage.core.member.PeerRelease;
import org.mustardstage.core.placement.EndpointIncarnation;
import org.mustardstage.core.placement.EndpointLimit;
import org.mustardstage.core.placement.EndpointLimits;
import org.mustardstage.core.placement.LostAttempt;
import org.mustardstage.core.placement.RequestBlock;
import org.mustardstage.core.placement.RequestFingerprint;
import org.mustardstage.core.placement.UsableEndpoint;
import org.mustardstage.core.quota.QuotaAction;
import org.mustardstage.core.quota.QuotaMessage;
import org.mustardstage.core.tenant.KeyLifetime;
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
final class GatewayControl implements GatewayStatus, CrashGuard.Listener {
  private static final long TICK_MILLIS = 100;
  private static final long LINK_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long VM_LIST_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long MISSED_HEARTBEATS_UNTIL_SILENT = 4;

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
  private final Eventloop eventloop;
  private final LongSupplier clock = System::nanoTime;
  private final MembershipSettings membershipSettings = MembershipSettings.forSmallVms();
  private final Membership membership;
  private final PeerNetwork network;
  private final VmList vmList;
  private final TableReplica operatorTable;
  private final TableReplica endpointTable;
  private final RowReplicator rowReplicator;
  private final CrashExchange crashExchange;
  private final long createdNanos = System.nanoTime();
  private final KeyLifetime keyLifetime;
  private final StateListener stateListener;
  private final DeploymentState deployment;
  private final StoreAnnouncement announcement = new StoreAnnouncement();
  private final AtomicReference<MemberView> memberView;
  private Member self;

  /** The number of VMs of the own zone that are believed alive, on which link timeouts depend. */
  private int aliveInOwnZone = 1;

  private volatile boolean leaving;
  private boolean vmListRead;
  private long lastVmListReadNanos = Long.MIN_VALUE / 2;
  private long lastLinkCheckNanos = Long.MIN_VALUE / 2;

  /** Receives changes of the control state, on the control thread. */
  interface StateListener extends DeploymentState.Listener {
    /** Called when the platform's list of VMs was read; this one counts. */
    void onVmsListed(int count);

    /** Called when the view of the VMs has changed. */
    void onMembers(MemberView view);

    /** Called when another VM has told which limits endpoints named, or ended. */
    void onEndpointLimits(List<EndpointLimit> limits);

    /** Returns the limits of endpoints in force; unlike the others, not an event. */
    ImmutableSet<EndpointLimit> limitsInForce();

    /** Called when another VM has sent a message about the quotas of tenants. */
    void onQuotaMessage(VmId from, QuotaMessage message);

    /** Called when requests are blocked, as they have ended several endpoints. */
    void onRequestBlocks(List<RequestBlock> blocks);
  }

  GatewayControl(
      GatewaySettings settings,
      PlatformAdapter adapter,
      long incarnationNumber,
      StateListener stateListener) {
    this.stateListener = stateListener;
    this.settings = settings;
    this.keyLifetime = new KeyLifetime(settings.keyLifetimeMillis());
    this.deployment = new DeploymentState(adapter, clock, new DeploymentListener());
    this.self =
        new Member(
            new VmIncarnation(settings.vm(), incarnationNumber),
            settings.zone(),
            settings.region(),
            settings.callerAddress(),
            settings.peerAddress(),
            settings.metricsAddress(),
            /* leaving= */ false,
            settings.milliCores(),
            /* cutOff= */ false,
            PeerRelease.CURRENT);
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
            new TableReplica.PollSettings(
                keyLifetime.callWaitMillis(OPERATOR_POLL_SETTINGS.waitMillis()),
                OPERATOR_POLL_SETTINGS.pauseMillis()),
            scheduler,
            row -> row.value().map(ByteBuffer::wrap),
            new OperatorListener());
    this.endpointTable =
        new TableReplica(
            store,
            PlatformAdapter.Table.ENDPOINTS,
            ENDPOINT_POLL_SETTINGS,
            scheduler,
            deployment::contentOfEndpointRow,
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
    this.crashExchange =
        new CrashExchange(self.vm(), clock, network::send, stateListener::onRequestBlocks);
  }

  /** Tells the other VMs which limit an endpoint named in a response, or that it named none. */
  void onEndpointLimit(EndpointLimits.Report report) {
    eventloop.execute(
        () -> {
          PeerMessage message = new PeerMessage.EndpointLimits(ImmutableList.of(report.limit()));
          memberView.get().alive().stream()
              .filter(member -> !member.vm().equals(settings.vm()))
              .filter(member -> report.toAllRegions() || member.region().equals(settings.region()))
              .forEach(member -> network.send(member, message));
        });
  }

  /** Sends messages about the quotas of tenants to other VMs. */
  void sendQuotaMessages(List<QuotaAction.Send> messages) {
    eventloop.execute(
        () -> {
          MemberView view = memberView.get();
          for (QuotaAction.Send send : messages) {
            view.find(send.to())
                .ifPresent(to -> network.send(to, new PeerMessage.Quota(send.message())));
          }
        });
  }

  @Override
  public void onLost(LostAttempt lost) {
    eventloop.execute(() -> crashExchange.onLost(memberView.get(), lost));
  }

  @Override
  public void onSurvived(RequestFingerprint fingerprint) {
    eventloop.execute(() -> crashExchange.onSurvived(memberView.get(), fingerprint));
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

  /** Returns whether the keys of the active configuration may be accepted. Safe on any thread. */
  boolean acceptsKeys() {
    return keyLifetime.acceptsKeys(clock.getAsLong());
  }

  Optional<GatewayConfig> config() {
    return deployment.config();
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
    deployment.onTick(nowNanos);
    rowReplicator.onTick(nowNanos, memberView.get(), leaving);
    crashExchange.onTick(nowNanos, memberView.get());
    readVmList(nowNanos);
    announceSelf(nowNanos);
  }

  private void readVmList(long nowNanos) {
    boolean alone = memberView.get().statuses().size() <= 1;
    // The quotas of tenants need the number of VMs only until this VM can know them by itself.
    boolean needsCount =
        !vmListRead && nowNanos - createdNanos < MembershipSettings.DISCOVERY_NANOS;
    if (nowNanos - lastVmListReadNanos < VM_LIST_INTERVAL_NANOS || !(alone || needsCount)) {
      return;
    }
    lastVmListReadNanos = nowNanos;
    vmList.read().whenResult(read -> read.peek(this::applyVmList));
  }

  private void applyVmList(List<Member> list) {
    vmListRead = true;
    long others = list.stream().filter(member -> !member.vm().equals(settings.vm())).count();
    stateListener.onVmsListed((int) others + 1);
    execute(membership.applyVmList(clock.getAsLong(), list));
  }

  /**
   * Writes this incarnation to the list of VMs, once in each era of the store. From then on, the
   * other VMs learn about it by membership messages.
   */
  private void announceSelf(long nowNanos) {
    long era = Math.max(operatorTable.position().era(), endpointTable.position().era());
    if (announcement.tryNow(nowNanos, era)) {
      vmList
          .announce(self)
          .whenResult(result -> result.peek(stored -> announcement.onAcknowledged(era)));
    }
  }

  /** Tells the other VMs that an endpoint said in a response that it is leaving. */
  void onEndpointLeaving(RegisteredEndpoint endpoint) {
    eventloop.execute(
        () -> {
          ImmutableList<EndpointIncarnation> unknown =
              deployment.markLeaving(ImmutableList.of(EndpointIncarnation.of(endpoint)));
          if (!unknown.isEmpty()) {
            rowReplicator.sendToRegion(memberView.get(), new PeerMessage.EndpointsLeaving(unknown));
          }
        });
  }

  /** Applies how much longer an endpoint stays cold, by its response to a health check. */
  void onEndpointColdness(RegisteredEndpoint endpoint, Duration coldRemaining) {
    eventloop.execute(
        () ->
            deployment.recordColdness(EndpointIncarnation.of(endpoint), coldRemaining.toMillis()));
  }

  private void execute(List<MemberAction> actions) {
    for (MemberAction action : actions) {
      switch (action) {
        case MemberAction.SendMessage send ->
            network.send(send.to(), new PeerMessage.Membership(send.message()));
        case MemberAction.ViewChanged changed -> publishMembers();
        case MemberAction.Superseded superseded -> renumber(superseded.knownNumber());
      }
    }
  }

  /**
   * Takes a number above the one under which the other VMs know this VM. Nothing here is tied to
   * the number, so it may change while the process runs. The links are opened again, as the other
   * VMs know them by the old number.
   */
  private void renumber(long knownNumber) {
    EventLog.log(Event.RENUMBERED, "before", self.incarnation().number(), "known", knownNumber);
    self = self.withNumber(knownNumber + 1);
    membership.renumber(knownNumber + 1);
    announcement.reset();
    network.closeLinks();
    publishMembers();
  }

  private void publishMembers() {
    MemberView view = membership.view(clock.getAsLong());
    memberView.set(view);
    aliveInOwnZone = view.aliveInOwnZone().size();
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
    return !leaving && deployment.isComplete();
  }

  @Override
  public boolean isHostConfigured(String host) {
    return deployment.config().filter(active -> active.hasHost(host)).isPresent();
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
    if (!inRegion.isEmpty()
        || clock.getAsLong() - createdNanos < MembershipSettings.DISCOVERY_NANOS) {
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

  /**
   * Tells the other VMs that this one reaches no endpoint, so that they direct callers and requests
   * elsewhere, or that it reaches endpoints again.
   */
  void setCutOff(boolean cutOff) {
    eventloop.execute(
        () -> {
          self = self.withCutOff(cutOff);
          execute(membership.setCutOff(clock.getAsLong(), cutOff));
          publishMembers();
        });
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

  private final class DeploymentListener implements DeploymentState.Listener {
    @Override
    public void onConfig(GatewayConfig newer) {
      membership.setConfigVersion(newer.version());
      stateListener.onConfig(newer);
    }

    @Override
    public void onEndpoints(ImmutableMap<ServiceName, ImmutableList<UsableEndpoint>> usable) {
      stateListener.onEndpoints(usable);
    }
  }

  private void onStoreRestored(
      PlatformAdapter.Table table, StorePosition before, StorePosition now) {
    EventLog.log(Event.STORE_RESTORED, "table", table, "before", before, "now", now);
    deployment.onStoreRestored(table);
  }

  private final class OperatorListener implements TableReplica.Listener {
    @Override
    public void onStoreRestored(StorePosition before, StorePosition now) {
      GatewayControl.this.onStoreRestored(PlatformAdapter.Table.OPERATOR, before, now);
    }

    @Override
    public void onRowsChanged(List<StoredRow> changed, boolean loaded) {
      deployment.applyOperatorRows(changed);
    }

    @Override
    public void onStoreReachabilityChanged(boolean reachable, Optional<PlatformFailure> failure) {
      logStoreReachability(PlatformAdapter.Table.OPERATOR, reachable, failure);
    }

    @Override
    public void onStoreRead() {
      keyLifetime.recordCurrent(clock.getAsLong());
      rowReplicator.sendChanges(PlatformAdapter.Table.OPERATOR, memberView.get(), leaving);
    }

    @Override
    public void onPeerRead() {
      keyLifetime.recordCurrent(clock.getAsLong());
    }
  }

  private final class EndpointListener implements TableReplica.Listener {
    @Override
    public void onStoreRestored(StorePosition before, StorePosition now) {
      GatewayControl.this.onStoreRestored(PlatformAdapter.Table.ENDPOINTS, before, now);
    }

    @Override
    public void onRowsChanged(List<StoredRow> changed, boolean loaded) {
      deployment.applyEndpointRows(changed);
    }

    @Override
    public void onStoreReachabilityChanged(boolean reachable, Optional<PlatformFailure> failure) {
      deployment.setRegistryAvailable(reachable);
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
      sendLeavingEndpoints(from);
      sendLimits(from);
      crashExchange.onHello(from);
    }

    private void sendLimits(Member to) {
      ImmutableSet<EndpointLimit> limits = stateListener.limitsInForce();
      if (!limits.isEmpty()) {
        network.send(to, new PeerMessage.EndpointLimits(limits.asList()));
      }
    }

    /** Tells a VM that may have just started what no row of the store says. */
    private void sendLeavingEndpoints(Member to) {
      ImmutableList<EndpointIncarnation> leavingEndpoints = deployment.leavingEndpoints();
      if (!leavingEndpoints.isEmpty()) {
        network.send(to, new PeerMessage.EndpointsLeaving(leavingEndpoints));
      }
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
        case PeerMessage.EndpointsLeaving endpoints ->
            deployment.markLeaving(endpoints.endpoints());
        case PeerMessage.EndpointLimits limits -> stateListener.onEndpointLimits(limits.limits());
        case PeerMessage.Quota quota -> stateListener.onQuotaMessage(from.vm(), quota.message());
        case PeerMessage.AttemptLost lost ->
            crashExchange.onAttemptLost(memberView.get(), from, lost.attempt());
        case PeerMessage.RequestSurvived survived ->
            crashExchange.onRequestSurvived(survived.fingerprint());
        case PeerMessage.RequestBlocks blocks ->
            crashExchange.onBlocks(memberView.get(), blocks.blocks());
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
              ? membershipSettings.heartbeatIntervalNanos(aliveInOwnZone)
              : membershipSettings.otherRegionHeartbeatIntervalNanos();
      return MISSED_HEARTBEATS_UNTIL_SILENT * periodNanos;
    }
  }
}
