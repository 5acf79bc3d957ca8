package org.mustardstage.entry.control;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.Reactor;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.mustardstage.core.config.ConfigHead;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.lookup.CallerBlockTable;
import org.mustardstage.core.lookup.LookupTable;
import org.mustardstage.core.manifest.CallerBlock;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberAction;
import org.mustardstage.core.member.MemberMessage;
import org.mustardstage.core.member.MemberStatus;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.member.Membership;
import org.mustardstage.core.member.MembershipSettings;
import org.mustardstage.core.permit.PermitAgent;
import org.mustardstage.core.permit.PermitMessage;
import org.mustardstage.core.permit.PermitSettings;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;
import org.mustardstage.entry.peer.LinkStats;
import org.mustardstage.entry.peer.PeerMessage;
import org.mustardstage.entry.peer.PeerNetwork;
import org.mustardstage.entry.platform.HttpPlatformClient;
import org.mustardstage.entry.platform.TableService;
import org.mustardstage.entry.settings.ProcessSettings;

/**
 * Owns all mutable control state and the event loop on which everything in this package runs. Only
 * {@link #snapshot}, {@link #lookupTable}, {@link #memberView} and {@link Admission} may be used by
 * traffic threads.
 */
public final class ControlThread {
  private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
  private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);
  private static final long VM_LIST_READ_INTERVAL_NANOS = Duration.ofSeconds(2).toNanos();
  private static final long ANNOUNCE_INTERVAL_NANOS = Duration.ofSeconds(10).toNanos();
  private static final long LINK_CHECK_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();
  private static final long LINK_SILENT_AFTER_HEARTBEATS = 4;
  private static final Duration HANDOVER_TIMEOUT = Duration.ofSeconds(15);

  private final ProcessSettings settings;
  private final Eventloop eventloop;
  private final LongSupplier clock = System::nanoTime;
  private final ExecutorService manifestReader =
      Executors.newSingleThreadExecutor(task -> new Thread(task, "manifest-reader"));
  private final MembershipSettings membershipSettings = MembershipSettings.defaults();
  private final AtomicReference<Snapshot> snapshot;
  private final AtomicReference<LookupTable> lookupTable;
  private final AtomicReference<MemberView> memberView;
  private final HttpPlatformClient platform;
  private final Membership membership;
  private final PeerNetwork network;
  private final ConfigService config;
  private final SubmissionService submissions;
  private final PermitDriver permits;
  private final AdmissionController admissionController;
  private Member self;
  private CallerBlockTable callerBlockTable = CallerBlockTable.of(List.of());
  private List<CallerBlock> callerBlocks = List.of();
  private Optional<Manifest> manifest = Optional.empty();
  private boolean platformReachable = true;
  private boolean stopping;
  private long vmListReadNanos = Long.MIN_VALUE / 2;
  private long announceNanos = Long.MIN_VALUE / 2;
  private long linkCheckNanos = Long.MIN_VALUE / 2;

  /** Creates the control state of the given incarnation of the entry VM in {@code settings}. */
  public ControlThread(ProcessSettings settings, long incarnationNumber) {
    this.settings = settings;
    this.self = settings.toMember(incarnationNumber);
    this.eventloop =
        Eventloop.builder()
            .withThreadName("control")
            .withFatalErrorHandler((e, context) -> EventLog.log(Event.CONTROL_FAULT, e))
            .build();
    this.platform =
        new HttpPlatformClient(
            eventloop, PLATFORM_TIMEOUT, settings.platformAddress(), settings.zone());
    this.membership = new Membership(membershipSettings, self, clock.getAsLong());
    this.memberView = new AtomicReference<>(membership.view(clock.getAsLong()));
    this.snapshot = new AtomicReference<>(newSnapshot(ConfigHead.NONE));
    this.lookupTable = new AtomicReference<>();
    this.lookupTable.set(newLookupTable());
    this.network = new PeerNetwork(eventloop, () -> self, clock, new PeerMessageReceiver());
    this.config =
        new ConfigService(platform, platform, clock, manifestReader, new ConfigCallbacks());
    this.submissions =
        new SubmissionService(
            platform,
            platform,
            manifestReader,
            System::currentTimeMillis,
            newManifest ->
                ManifestStateCheck.check(newManifest, snapshot.get().manifest(), memberView.get()),
            config::isStored,
            config::offerStoredHead);
    SplittableRandom random = new SplittableRandom(incarnationNumber);
    PermitAgent agent =
        new PermitAgent(PermitSettings.defaults(), self.incarnation(), self.zone(), random);
    this.permits = new PermitDriver(agent, platform, clock, self.zone(), this::sendPermitMessage);
    this.admissionController =
        new AdmissionController(
            permits,
            clock,
            random,
            service ->
                new RouterEndpointSelector(
                    self.zone(), self.region(), this::countEntryVms, random));
  }

  private int countEntryVms() {
    return (int) memberView.get().statuses().stream().filter(s -> !s.provenGone()).count();
  }

  /** Starts the event loop. Returns when other VMs can connect. */
  public void start() throws IOException {
    eventloop.keepAlive(true);
    new Thread(eventloop, "control").start();
    try {
      eventloop.submit(this::startOnLoop).join();
    } catch (CompletionException e) {
      throw new IOException("can't listen on " + settings.peerAddress(), e.getCause());
    }
  }

  private void startOnLoop() throws IOException {
    network.start();
    settings.seedPeers().forEach(network::connect);
    tick();
  }

  /** Runs {@code task} on the control thread. */
  public void execute(Runnable task) {
    eventloop.execute(task);
  }

  /** Returns the event loop, for servers that access control state. */
  public Eventloop eventloop() {
    return eventloop;
  }

  /** Returns the last published snapshot of the control state for traffic threads. */
  public Snapshot snapshot() {
    return snapshot.get();
  }

  /** Returns the last published lookup table. */
  public LookupTable lookupTable() {
    return lookupTable.get();
  }

  /** Returns the last published view of all members. */
  public MemberView memberView() {
    return memberView.get();
  }

  /** Returns the admission control for traffic threads. */
  public Admission admission() {
    return new CrossThreadAdmission();
  }

  /** Processes a submitted manifest. Must be called on the control thread. */
  Promise<SubmissionResult> submit(Submission submission) {
    return submissions.submit(submission);
  }

  /** Returns the platform's table service, for use on the control thread. */
  TableService table() {
    return platform;
  }

  PermitDriver permits() {
    return permits;
  }

  AdmissionController admissionController() {
    return admissionController;
  }

  LinkStats linkStats() {
    return network.stats();
  }

  int linkCount() {
    return network.linkCount();
  }

  boolean platformReachable() {
    return platformReachable;
  }

  Optional<Manifest> manifest() {
    return manifest;
  }

  /** Returns the CPU time that the control thread has used. */
  long threadCpuNanos() {
    return ManagementFactory.getThreadMXBean()
        .getThreadCpuTime(eventloop.getEventloopThread().threadId());
  }

  private void tick() {
    try {
      runDueTasks(clock.getAsLong());
    } catch (RuntimeException e) {
      EventLog.log(Event.CONTROL_FAULT, e);
    }
    eventloop.delay(TICK_INTERVAL.toMillis(), this::tick);
  }

  private void runDueTasks(long nowNanos) {
    permits.runDueTasks();
    admissionController.runDueTasks();
    run(membership.tick(nowNanos));
    if (nowNanos - linkCheckNanos >= LINK_CHECK_INTERVAL_NANOS) {
      linkCheckNanos = nowNanos;
      network.closeSilentLinks();
    }
    config.pollIfDue(() -> membership.isPoller(nowNanos));
    readVmList(nowNanos);
    announceSelf(nowNanos);
  }

  private void readVmList(long nowNanos) {
    if (nowNanos - vmListReadNanos < VM_LIST_READ_INTERVAL_NANOS
        || !membership.needsVmList(nowNanos)) {
      return;
    }
    vmListReadNanos = nowNanos;
    platform
        .read()
        .whenResult(
            read -> {
              updatePlatformReachable(read.isRight());
              read.peek(list -> run(membership.applyVmList(clock.getAsLong(), list)));
            });
  }

  private void announceSelf(long nowNanos) {
    if (nowNanos - announceNanos < ANNOUNCE_INTERVAL_NANOS) {
      return;
    }
    announceNanos = nowNanos;
    platform
        .announce(self)
        .whenResult(
            result -> {
              if (result.isLeft()) {
                announceNanos = nowNanos - ANNOUNCE_INTERVAL_NANOS + VM_LIST_READ_INTERVAL_NANOS;
              }
            });
  }

  private void updatePlatformReachable(boolean reachable) {
    if (reachable != platformReachable) {
      EventLog.log(reachable ? Event.PLATFORM_BACK : Event.PLATFORM_LOST);
    }
    platformReachable = reachable;
  }

  private void run(List<MemberAction> actions) {
    for (MemberAction action : actions) {
      switch (action) {
        case MemberAction.SendMessage send ->
            network.send(send.to(), new PeerMessage.Membership(send.message()));
        case MemberAction.ViewChanged changed -> publishMembers();
        case MemberAction.Superseded superseded ->
            EventLog.log(Event.NEWER_INCARNATION_SEEN, "other", superseded.knownNumber());
      }
    }
  }

  private void publishMembers() {
    MemberView view = membership.view(clock.getAsLong());
    memberView.set(view);
    permits.updateMembers(view);
    lookupTable.set(newLookupTable());
    EventLog.log(
        Event.MEMBERS_CHANGED,
        "alive",
        view.statuses().stream().filter(MemberStatus::isAlive).count(),
        "silentZones",
        view.silentZones());
  }

  private LookupTable newLookupTable() {
    List<Member> members =
        memberView.get().membersAcceptingCallers().stream()
            .filter(
                member ->
                    admissionController == null
                        || !admissionController.drainPlan().isDraining(member.vm()))
            .toList();
    ConfigVersion version = snapshot.get().version();
    return LookupTable.of(
        version,
        callerBlockTable,
        settings.region(),
        members,
        Optional.ofNullable(lookupTable.get()));
  }

  private Snapshot newSnapshot(ConfigHead head) {
    return new Snapshot(
        self.incarnation(),
        settings.zone(),
        settings.region(),
        settings.trafficAddress(),
        head.version(),
        manifest,
        stopping);
  }

  private void sendPermitMessage(VmIncarnation to, PermitMessage message) {
    memberView
        .get()
        .find(to.vm())
        .filter(member -> member.incarnation().equals(to))
        .ifPresent(member -> network.send(member, new PeerMessage.Permits(message)));
  }

  /**
   * Takes this VM out of service: announces to the other VMs that it is leaving, which removes it
   * from lookup responses, keeps serving until the responses that still list it have expired, and
   * then rejects new requests. Returns when it rejects them.
   */
  public void leave() {
    long lookupTtlMillis = snapshot.get().manifest().map(Manifest::lookupTtlMillis).orElse(0L);
    CompletableFuture<Void> lookupsExpired = new CompletableFuture<>();
    eventloop.execute(
        () -> {
          self = self.asLeaving();
          run(membership.leave(clock.getAsLong()));
          announceNanos = Long.MIN_VALUE / 2;
          eventloop.delay(lookupTtlMillis, () -> lookupsExpired.complete(null));
        });
    lookupsExpired.join();
    eventloop.submit(this::rejectNewRequests).join();
  }

  private void rejectNewRequests() {
    stopping = true;
    snapshot.set(newSnapshot(config.activeHead()));
    admissionController.rejectNewRequests();
  }

  /**
   * Hands over all permits and ownerships, then closes all links and ends the event loop. Stops
   * without a complete handover after {@link #HANDOVER_TIMEOUT}.
   */
  public void stop() {
    CompletableFuture<Void> handedOver = new CompletableFuture<>();
    eventloop.execute(
        () -> {
          permits.handOver(() -> handedOver.complete(null));
          eventloop.delay(
              HANDOVER_TIMEOUT.toMillis(),
              () -> {
                if (handedOver.complete(null)) {
                  EventLog.log(Event.STOP_CUT_SHORT, "inUse", permits.status().permitsInUse());
                }
              });
        });
    handedOver.join();
    eventloop.submit(() -> network.stop().toVoid()).join();
    manifestReader.shutdown();
    eventloop.keepAlive(false);
    eventloop.execute(eventloop::breakEventloop);
  }

  /** Dispatches messages from other entry VMs to the components that handle them. */
  private final class PeerMessageReceiver implements PeerNetwork.Receiver {
    @Override
    public void onHello(Member from) {
      logNewerIncarnation(from);
      run(membership.addPeer(clock.getAsLong(), from));
    }

    private void logNewerIncarnation(Member from) {
      boolean sameVm = from.vm().equals(self.vm());
      if (sameVm && from.incarnation().number() > self.incarnation().number()) {
        EventLog.log(Event.NEWER_INCARNATION_SEEN, "other", from.incarnation());
      }
    }

    @Override
    public void onMessage(Member from, PeerMessage message) {
      switch (message) {
        case PeerMessage.Hello hello -> onHello(hello.member());
        case PeerMessage.Membership membershipMessage ->
            applyMembershipMessage(from, membershipMessage);
        case PeerMessage.Permits permitMessage ->
            permits.handleMessage(from.incarnation(), permitMessage.message());
        case PeerMessage.ConfigAnnounce announce -> config.offerPeerHead(from, announce);
        case PeerMessage.ConfigFetch fetch -> config.sendObjects(from, fetch);
        case PeerMessage.ConfigObjects objects -> config.storeObjects(from, objects);
        case PeerMessage.RowsRequest request -> logGatewayMessage(from);
        case PeerMessage.RowsUpdate update -> logGatewayMessage(from);
        case PeerMessage.EndpointsLeaving leaving -> logGatewayMessage(from);
        case PeerMessage.EndpointLimits limits -> logGatewayMessage(from);
        case PeerMessage.AttemptLost lost -> logGatewayMessage(from);
        case PeerMessage.RequestSurvived survived -> logGatewayMessage(from);
        case PeerMessage.Quota quota -> logGatewayMessage(from);
        case PeerMessage.RequestBlocks blocks -> logGatewayMessage(from);
      }
    }

    /** Logs a message that only gateway VMs exchange; they run without manifests. */
    private void logGatewayMessage(Member from) {
      EventLog.log(
          Event.BAD_FRAME,
          "vm",
          from.incarnation(),
          "why",
          "unexpected message: only gateway VMs exchange it");
    }

    private void applyMembershipMessage(Member from, PeerMessage.Membership membershipMessage) {
      run(membership.applyMessage(clock.getAsLong(), from, membershipMessage.message()));
      if (membershipMessage.message() instanceof MemberMessage.Heartbeat heartbeat) {
        config.announceIfOutdated(from, heartbeat.configVersion());
      }
    }

    @Override
    public long silenceTimeoutNanos(Member member) {
      long periodNanos =
          member.zone().equals(self.zone())
              ? membershipSettings.heartbeatIntervalNanos(memberView.get().aliveInOwnZone().size())
              : membershipSettings.otherRegionHeartbeatIntervalNanos();
      return LINK_SILENT_AFTER_HEARTBEATS * periodNanos;
    }
  }

  /** Applies configuration changes to the state of the control thread. */
  private final class ConfigCallbacks implements ConfigService.Callbacks {
    @Override
    public void send(Member to, PeerMessage message) {
      network.send(to, message);
    }

    @Override
    public List<Member> announceTargets() {
      return memberView.get().aliveInOwnZone().stream()
          .filter(member -> !member.vm().equals(self.vm()))
          .toList();
    }

    @Override
    public void activate(ConfigHead head, Manifest newManifest) {
      manifest = Optional.of(newManifest);
      if (!newManifest.callerBlocks().equals(callerBlocks)) {
        callerBlocks = newManifest.callerBlocks();
        callerBlockTable = CallerBlockTable.of(callerBlocks);
      }
      admissionController.updateManifest(newManifest);
      permits.updateLimits(head.version().number(), newManifest);
      membership.setConfigVersion(head.version());
      snapshot.set(newSnapshot(head));
      lookupTable.set(newLookupTable());
    }

    @Override
    public void updatePlatformReachable(boolean reachable) {
      ControlThread.this.updatePlatformReachable(reachable);
    }
  }

  /** Forwards admission requests to the control thread and decisions to the calling thread. */
  private final class CrossThreadAdmission implements Admission {
    @Override
    public Promise<AdmissionDecision> admit(AdmissionRequest request) {
      Reactor trafficReactor = Reactor.getCurrentReactor();
      SettablePromise<AdmissionDecision> promise = new SettablePromise<>();
      eventloop.execute(
          () ->
              admissionController.admit(
                  request, decision -> trafficReactor.execute(() -> promise.set(decision))));
      return promise;
    }

    @Override
    public void reportResult(long attemptId, AttemptReport report) {
      eventloop.execute(() -> admissionController.handleReport(attemptId, report));
    }
  }

  /** Returns the configured listen address for operators, for error messages. */
  HostAndPort adminAddress() {
    return settings.adminAddress();
  }
}
