package org.mustardstage.entry.control;

import io.activej.dns.DnsClient;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.Reactor;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
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
 * The owner of all mutable control state. Everything in this package runs on its event loop, but
 * for {@link #snapshot}, {@link #lookupTable}, {@link #memberView} and {@link Admission}, which
 * traffic threads use.
 */
public final class ControlThread {
  private static final Duration TICK = Duration.ofMillis(20);
  private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);
  private static final long LIST_NANOS = Duration.ofSeconds(2).toNanos();
  private static final long ANNOUNCE_NANOS = Duration.ofSeconds(10).toNanos();
  private static final long LINK_CHECK_NANOS = Duration.ofMillis(200).toNanos();
  private static final long SILENT_PERIODS = 4;
  private static final Duration HANDOVER_TIMEOUT = Duration.ofSeconds(15);

  private final ProcessSettings settings;
  private final Eventloop eventloop;
  private final LongSupplier clock = System::nanoTime;
  private final ExecutorService reader =
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
  private final Admissions admissions;
  private Member self;
  private CallerBlockTable blocks = CallerBlockTable.of(List.of());
  private List<CallerBlock> blockList = List.of();
  private Optional<Manifest> manifest = Optional.empty();
  private boolean platformAnswers = true;
  private boolean stopping;
  private long listReadNanos = Long.MIN_VALUE / 2;
  private long announcedNanos = Long.MIN_VALUE / 2;
  private long linksCheckedNanos = Long.MIN_VALUE / 2;

  /** Creates the control state of one run of the VM of {@code settings}. */
  public ControlThread(ProcessSettings settings, long incarnationNumber) {
    this.settings = settings;
    this.self = settings.toMember(incarnationNumber);
    this.eventloop =
        Eventloop.builder()
            .withThreadName("control")
            .withFatalErrorHandler((e, context) -> EventLog.log(Event.CONTROL_FAULT, e))
            .build();
    this.platform =
        new HttpPlatformClient(httpClient(), settings.platformAddress(), settings.zone());
    this.membership = new Membership(membershipSettings, self, clock.getAsLong());
    this.memberView = new AtomicReference<>(membership.view(clock.getAsLong()));
    this.snapshot = new AtomicReference<>(newSnapshot(ConfigHead.NONE));
    this.lookupTable = new AtomicReference<>();
    this.lookupTable.set(newLookupTable());
    this.network = new PeerNetwork(eventloop, () -> self, clock, new Receiver());
    this.config = new ConfigService(platform, platform, clock, reader, new ConfigHost());
    this.submissions =
        new SubmissionService(
            platform,
            platform,
            reader,
            System::currentTimeMillis,
            submitted -> StateCheck.check(submitted, snapshot.get().manifest(), memberView.get()),
            config::isStored,
            config::onAccepted);
    SplittableRandom random = new SplittableRandom(incarnationNumber);
    PermitAgent agent =
        new PermitAgent(PermitSettings.defaults(), self.incarnation(), self.zone(), random);
    this.permits = new PermitDriver(agent, platform, clock, self.zone(), this::sendPermits);
    this.admissions =
        new Admissions(
            permits,
            clock,
            random,
            service ->
                new RoutedCandidates(self.zone(), self.region(), this::countSenders, random));
  }

  private int countSenders() {
    return (int) memberView.get().statuses().stream().filter(s -> !s.provenGone()).count();
  }

  private HttpClient httpClient() {
    return HttpClient.builder(
            eventloop, DnsClient.create(eventloop, InetAddress.getLoopbackAddress()))
        .withConnectTimeout(PLATFORM_TIMEOUT)
        .withReadWriteTimeout(PLATFORM_TIMEOUT)
        .withKeepAliveTimeout(Duration.ofSeconds(10))
        .build();
  }

  /** Starts the event loop. It returns when other VMs can connect. */
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

  /** Returns the event loop, for servers that read control state. */
  public Eventloop eventloop() {
    return eventloop;
  }

  /** Returns what traffic threads need to know, as last published. */
  public Snapshot snapshot() {
    return snapshot.get();
  }

  /** Returns the look-up answers, as last published. */
  public LookupTable lookupTable() {
    return lookupTable.get();
  }

  /** Returns what is believed of all members, as last published. */
  public MemberView memberView() {
    return memberView.get();
  }

  /** Returns the way for traffic threads to ask for leave to send requests. */
  public Admission admission() {
    return new ThreadedAdmission();
  }

  /** Returns the service that takes submissions, for use on the control thread. */
  Promise<SubmissionEnd> submit(Submission submission) {
    return submissions.submit(submission);
  }

  /** Returns the table service, for use on the control thread. */
  TableService table() {
    return platform;
  }

  PermitDriver permits() {
    return permits;
  }

  Admissions admissions() {
    return admissions;
  }

  LinkStats linkStats() {
    return network.stats();
  }

  int linkCount() {
    return network.linkCount();
  }

  boolean platformAnswers() {
    return platformAnswers;
  }

  Optional<Manifest> manifest() {
    return manifest;
  }

  /** Returns the processor time of the control thread so far, in nanoseconds. */
  long threadCpuNanos() {
    return ManagementFactory.getThreadMXBean()
        .getThreadCpuTime(eventloop.getEventloopThread().threadId());
  }

  private void tick() {
    try {
      onTick(clock.getAsLong());
    } catch (RuntimeException e) {
      EventLog.log(Event.CONTROL_FAULT, e);
    }
    eventloop.delay(TICK.toMillis(), this::tick);
  }

  private void onTick(long nowNanos) {
    permits.onTick();
    admissions.onTick();
    run(membership.tick(nowNanos));
    if (nowNanos - linksCheckedNanos >= LINK_CHECK_NANOS) {
      linksCheckedNanos = nowNanos;
      network.closeSilentLinks();
    }
    config.onTick(() -> membership.isPoller(nowNanos));
    readVmList(nowNanos);
    announceSelf(nowNanos);
  }

  private void readVmList(long nowNanos) {
    if (nowNanos - listReadNanos < LIST_NANOS || !membership.needsVmList(nowNanos)) {
      return;
    }
    listReadNanos = nowNanos;
    platform
        .read()
        .whenResult(
            read -> {
              onPlatformAnswer(read.isRight());
              read.peek(list -> run(membership.applyVmList(clock.getAsLong(), list)));
            });
  }

  private void announceSelf(long nowNanos) {
    if (nowNanos - announcedNanos < ANNOUNCE_NANOS) {
      return;
    }
    announcedNanos = nowNanos;
    platform
        .announce(self)
        .whenResult(
            end -> {
              if (end.isLeft()) {
                announcedNanos = nowNanos - ANNOUNCE_NANOS + LIST_NANOS;
              }
            });
  }

  private void onPlatformAnswer(boolean answered) {
    if (answered != platformAnswers) {
      EventLog.log(answered ? Event.PLATFORM_BACK : Event.PLATFORM_LOST);
    }
    platformAnswers = answered;
  }

  private void run(List<MemberAction> actions) {
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
    permits.onMembers(view);
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
            .filter(member -> admissions == null || !admissions.drainPlan().isDraining(member.vm()))
            .toList();
    ConfigVersion version = snapshot.get().version();
    return LookupTable.of(
        version, blocks, settings.region(), members, Optional.ofNullable(lookupTable.get()));
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

  private void sendPermits(VmIncarnation to, PermitMessage message) {
    memberView
        .get()
        .find(to.vm())
        .filter(member -> member.incarnation().equals(to))
        .ifPresent(member -> network.send(member, new PeerMessage.Permits(message)));
  }

  /**
   * Stops gracefully: tells the other VMs, leaves the look-up answers, serves on for the lifetime
   * of the answers, and refuses new requests after that. It returns when requests may be refused.
   */
  public void leave() {
    long lifetimeMillis = snapshot.get().manifest().map(Manifest::lookupTtlMillis).orElse(0L);
    CompletableFuture<Void> left = new CompletableFuture<>();
    eventloop.execute(
        () -> {
          self = self.asLeaving();
          run(membership.leave(clock.getAsLong()));
          announcedNanos = Long.MIN_VALUE / 2;
          eventloop.delay(lifetimeMillis, () -> left.complete(null));
        });
    left.join();
    eventloop.submit(this::refuseNew).join();
  }

  private void refuseNew() {
    stopping = true;
    snapshot.set(newSnapshot(config.inForce()));
    admissions.stop();
  }

  /** Hands over all permits and ownerships, then closes all connections and ends the event loop. */
  public void stop() {
    CompletableFuture<Void> handedOver = new CompletableFuture<>();
    eventloop.execute(
        () -> {
          permits.stop(() -> handedOver.complete(null));
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
    reader.shutdown();
    eventloop.keepAlive(false);
    eventloop.execute(eventloop::breakEventloop);
  }

  /** Takes in what other VMs send. */
  private final class Receiver implements PeerNetwork.Receiver {
    @Override
    public void onHello(Member from) {
      noteNewerRun(from);
      run(membership.addPeer(clock.getAsLong(), from));
    }

    private void noteNewerRun(Member from) {
      boolean sameVm = from.vm().equals(self.vm());
      if (sameVm && from.incarnation().number() > self.incarnation().number()) {
        EventLog.log(Event.NEWER_INCARNATION_SEEN, "other", from.incarnation());
      }
    }

    @Override
    public void onMessage(Member from, PeerMessage message) {
      switch (message) {
        case PeerMessage.Hello hello -> onHello(hello.member());
        case PeerMessage.Membership of -> onMembership(from, of);
        case PeerMessage.Permits of -> permits.onMessage(from.incarnation(), of.message());
        case PeerMessage.ConfigAnnounce announce -> config.onAnnounce(from, announce);
        case PeerMessage.ConfigFetch fetch -> config.onFetch(from, fetch);
        case PeerMessage.ConfigObjects objects -> config.onObjects(from, objects);
        case PeerMessage.RowsRequest wanted -> logNotUsed(from);
        case PeerMessage.RowsUpdate known -> logNotUsed(from);
      }
    }

    /** Rows are passed on between VMs that have no manifests only. */
    private void logNotUsed(Member from) {
      EventLog.log(Event.BAD_FRAME, "vm", from.incarnation(), "why", "rows are not used here");
    }

    private void onMembership(Member from, PeerMessage.Membership of) {
      run(membership.applyMessage(clock.getAsLong(), from, of.message()));
      if (of.message() instanceof MemberMessage.Heartbeat heartbeat) {
        config.onPeerVersion(from, heartbeat.configVersion());
      }
    }

    @Override
    public long silenceTimeoutNanos(Member member) {
      long periodNanos =
          member.zone().equals(self.zone())
              ? membershipSettings.heartbeatIntervalNanos(memberView.get().aliveInOwnZone().size())
              : membershipSettings.otherRegionHeartbeatIntervalNanos();
      return SILENT_PERIODS * periodNanos;
    }
  }

  /** What the configuration needs of the control thread. */
  private final class ConfigHost implements ConfigService.Host {
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
    public void onManifest(ConfigHead head, Manifest newManifest) {
      manifest = Optional.of(newManifest);
      if (!newManifest.callerBlocks().equals(blockList)) {
        blockList = newManifest.callerBlocks();
        blocks = CallerBlockTable.of(blockList);
      }
      admissions.onManifest(newManifest);
      permits.onManifest(head.version().number(), newManifest);
      membership.setConfigVersion(head.version());
      snapshot.set(newSnapshot(head));
      lookupTable.set(newLookupTable());
    }

    @Override
    public void onPlatformAnswer(boolean answered) {
      ControlThread.this.onPlatformAnswer(answered);
    }
  }

  /** Passes questions of traffic threads to the control thread and the answers back. */
  private final class ThreadedAdmission implements Admission {
    @Override
    public Promise<AdmissionDecision> admit(AdmissionRequest request) {
      Reactor traffic = Reactor.getCurrentReactor();
      SettablePromise<AdmissionDecision> promise = new SettablePromise<>();
      eventloop.execute(
          () ->
              admissions.admit(request, decision -> traffic.execute(() -> promise.set(decision))));
      return promise;
    }

    @Override
    public void reportResult(long useId, AttemptReport end) {
      eventloop.execute(() -> admissions.end(useId, end));
    }
  }

  /** Returns the addresses that operators may ask, for messages. */
  HostAndPort adminAddress() {
    return settings.adminAddress();
  }
}
