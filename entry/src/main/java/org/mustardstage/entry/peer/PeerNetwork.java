package org.mustardstage.entry.peer;

import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.Member;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;

/**
 * Sends messages to other entry VMs and receives theirs. A message goes over the link to its
 * receiver on which something was received last. If that link has been silent for longer than the
 * silence timeout, or there is none, a new connection is opened. Confined to the control thread.
 */
public final class PeerNetwork implements PeerLink.Listener {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  /** The minimum time between two attempts to connect to the same address. */
  private static final long RECONNECT_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

  /** Bounds the messages that wait for a connection to be opened. Further messages are dropped. */
  private static final int MAX_QUEUED_MESSAGES_PER_ADDRESS = 256;

  /** Bounds the log lines about frames that can't be decoded, whatever other VMs send. */
  private static final long BAD_FRAME_LOG_INTERVAL_NANOS = Duration.ofSeconds(10).toNanos();

  private final NioReactor reactor;
  private final Supplier<Member> self;
  private final LongSupplier clock;
  private final Receiver receiver;
  private final LinkStats stats = new LinkStats();
  private final Map<VmId, List<PeerLink>> links = new HashMap<>();
  private final Set<PeerLink> unidentifiedLinks = new HashSet<>();

  /** The queued messages of each address with an outbound connection that is not identified yet. */
  private final Map<HostAndPort, List<QueuedMessage>> queuedMessages = new HashMap<>();

  /** The addresses of the outbound links whose remote VM is not identified yet. */
  private final Map<PeerLink, HostAndPort> outboundAddresses = new HashMap<>();

  private final Map<HostAndPort, Long> lastConnectNanos = new HashMap<>();
  private final SimpleServer server;
  private long nextCorrelationId = 1;
  private long lastBadFrameLogNanos;
  private boolean stopped;

  /**
   * A message that is queued until its receiver has introduced itself as incarnation {@code to}.
   */
  private record QueuedMessage(VmIncarnation to, PeerMessage message) {}

  /** Handles what other VMs send. */
  public interface Receiver {
    /** Handles the introduction of a VM on a new link. */
    void onHello(Member from);

    /** Handles a message from a VM. */
    void onMessage(Member from, PeerMessage message);

    /** Returns how long a link to {@code member} may be silent before it is replaced. */
    long silenceTimeoutNanos(Member member);
  }

  /** Creates the network of {@code self}, which will listen on its peer address. */
  public PeerNetwork(
      NioReactor reactor, Supplier<Member> self, LongSupplier clock, Receiver receiver) {
    this.reactor = reactor;
    this.self = self;
    this.clock = clock;
    this.receiver = receiver;
    this.lastBadFrameLogNanos = clock.getAsLong() - BAD_FRAME_LOG_INTERVAL_NANOS;
    HostAndPort address = self.get().peerAddress();
    this.server =
        SimpleServer.builder(reactor, this::accept)
            .withListenAddress(new InetSocketAddress(address.host(), address.port()))
            .build();
  }

  /** Starts to accept connections from other VMs. */
  public void start() throws IOException {
    server.listen();
  }

  /** Closes all links and stops accepting connections. */
  public Promise<?> stop() {
    stopped = true;
    closeLinks();
    return server.close();
  }

  /**
   * Closes all links. The next message to a VM opens a new one, on which this VM introduces itself.
   */
  public void closeLinks() {
    List<PeerLink> all = new ArrayList<>(unidentifiedLinks);
    links.values().forEach(all::addAll);
    all.forEach(PeerLink::close);
    lastConnectNanos.clear();
  }

  /** Returns the message and byte counts of all links. */
  public LinkStats stats() {
    return stats;
  }

  private void accept(ITcpSocket socket) {
    openLink(socket);
  }

  private PeerLink openLink(ITcpSocket socket) {
    PeerLink link = new PeerLink(socket, this, stats, clock.getAsLong());
    unidentifiedLinks.add(link);
    link.send(nextCorrelationId++, new PeerMessage.Hello(self.get(), Build.commit()));
    link.startReading();
    return link;
  }

  /**
   * Sends {@code message} to {@code to}. Delivery is not guaranteed: the message is dropped if the
   * link fails, or if there is no link and the last attempt to connect was too recent.
   */
  public void send(Member to, PeerMessage message) {
    if (stopped) {
      return;
    }
    Optional<PeerLink> link = findActiveLink(to);
    if (link.isPresent()) {
      link.get().send(nextCorrelationId++, message);
      return;
    }
    connectAndQueue(to.peerAddress(), Optional.of(new QueuedMessage(to.incarnation(), message)));
  }

  /** Opens a connection to {@code address}, on which the VM there introduces itself. */
  public void connect(HostAndPort address) {
    connectAndQueue(address, Optional.empty());
  }

  private Optional<PeerLink> findActiveLink(Member to) {
    long nowNanos = clock.getAsLong();
    long silenceTimeoutNanos = receiver.silenceTimeoutNanos(to);
    return links.getOrDefault(to.vm(), List.of()).stream()
        .filter(link -> link.remote().filter(r -> isSameIncarnation(r, to)).isPresent())
        .max(Comparator.comparingLong(PeerLink::lastReceivedNanos))
        .filter(link -> nowNanos - link.lastReceivedNanos() <= silenceTimeoutNanos);
  }

  private static boolean isSameIncarnation(Member first, Member second) {
    return first.incarnation().equals(second.incarnation());
  }

  private void connectAndQueue(HostAndPort address, Optional<QueuedMessage> message) {
    List<QueuedMessage> queued = queuedMessages.get(address);
    if (queued != null) {
      message.filter(m -> queued.size() < MAX_QUEUED_MESSAGES_PER_ADDRESS).ifPresent(queued::add);
      return;
    }
    long nowNanos = clock.getAsLong();
    Long lastAttemptNanos = lastConnectNanos.get(address);
    if (lastAttemptNanos != null && nowNanos - lastAttemptNanos < RECONNECT_INTERVAL_NANOS) {
      return;
    }
    lastConnectNanos.put(address, nowNanos);
    List<QueuedMessage> messages = new ArrayList<>();
    message.ifPresent(messages::add);
    queuedMessages.put(address, messages);
    TcpSocket.connect(
            reactor, new InetSocketAddress(address.host(), address.port()), CONNECT_TIMEOUT, null)
        .whenResult(socket -> onConnected(address, socket))
        .whenException(e -> onConnectFailed(address, e));
  }

  private void onConnectFailed(HostAndPort address, Exception exception) {
    queuedMessages.remove(address);
    EventLog.log(Event.LINK_CLOSED, exception, "address", address);
  }

  private void onConnected(HostAndPort address, ITcpSocket socket) {
    PeerLink link = openLink(socket);
    outboundAddresses.put(link, address);
    if (stopped) {
      link.close();
    }
  }

  @Override
  public void onMessage(PeerLink link, PeerCodec.Frame frame) {
    link.recordReceipt(clock.getAsLong());
    switch (frame.message()) {
      case PeerMessage.Hello hello -> onHello(link, hello);
      default -> onIdentifiedMessage(link, frame.message());
    }
  }

  private void onHello(PeerLink link, PeerMessage.Hello hello) {
    Member member = hello.member();
    unidentifiedLinks.remove(link);
    link.identify(member, hello.build());
    links.computeIfAbsent(member.vm(), key -> new ArrayList<>()).add(link);
    EventLog.log(
        Event.LINK_OPENED,
        "vm",
        member.incarnation(),
        "release",
        member.release(),
        "build",
        hello.build());
    sendQueued(link, member);
    receiver.onHello(member);
  }

  private void sendQueued(PeerLink link, Member member) {
    removeQueued(link).stream()
        .filter(queued -> queued.to().equals(member.incarnation()))
        .forEach(queued -> link.send(nextCorrelationId++, queued.message()));
  }

  /** Removes and returns the messages queued for the receiver of an outbound link. */
  private List<QueuedMessage> removeQueued(PeerLink link) {
    HostAndPort address = outboundAddresses.remove(link);
    List<QueuedMessage> queued = address == null ? null : queuedMessages.remove(address);
    return queued == null ? List.of() : queued;
  }

  private void onIdentifiedMessage(PeerLink link, PeerMessage message) {
    Optional<Member> from = link.remote();
    if (from.isEmpty()) {
      onBadFrame(
          link,
          new FrameProblem.Malformed("the first message on the link is not hello"),
          /* contentBytes= */ 0);
      return;
    }
    receiver.onMessage(from.get(), message);
  }

  /**
   * Logs a frame that could not be decoded, at most one in {@link #BAD_FRAME_LOG_INTERVAL_NANOS}. A
   * VM that has not introduced itself is disconnected, as it may be no VM at all.
   */
  @Override
  public void onBadFrame(PeerLink link, FrameProblem problem, int contentBytes) {
    long nowNanos = clock.getAsLong();
    if (nowNanos - lastBadFrameLogNanos >= BAD_FRAME_LOG_INTERVAL_NANOS) {
      lastBadFrameLogNanos = nowNanos;
      EventLog.log(
          Event.BAD_FRAME,
          "vm",
          link.remote().map(Member::incarnation),
          "release",
          link.remote().map(Member::release),
          "build",
          link.build(),
          "bytes",
          contentBytes,
          "skippedSoFar",
          stats.skippedFrames(),
          "why",
          problem);
    }
    if (link.remote().isEmpty()) {
      link.close();
    }
  }

  @Override
  public void onClosed(PeerLink link) {
    unidentifiedLinks.remove(link);
    var unused = removeQueued(link);
    link.remote().ifPresent(member -> removeLink(member, link));
  }

  private void removeLink(Member member, PeerLink link) {
    List<PeerLink> list = links.get(member.vm());
    if (list != null) {
      list.remove(link);
      if (list.isEmpty()) {
        links.remove(member.vm());
      }
    }
    EventLog.log(Event.LINK_CLOSED, "vm", member.incarnation());
  }

  /**
   * Closes links that have been silent for twice their silence timeout, and those whose remote VM
   * has not introduced itself within twice the connect timeout. The next message to a VM opens a
   * new connection.
   */
  public void closeSilentLinks() {
    long nowNanos = clock.getAsLong();
    List<PeerLink> all = new ArrayList<>(unidentifiedLinks);
    links.values().forEach(all::addAll);
    for (PeerLink link : all) {
      closeIfSilent(nowNanos, link);
    }
  }

  private void closeIfSilent(long nowNanos, PeerLink link) {
    long timeoutNanos =
        link.remote().map(receiver::silenceTimeoutNanos).orElse(CONNECT_TIMEOUT.toNanos());
    if (nowNanos - link.lastReceivedNanos() > 2 * timeoutNanos) {
      EventLog.log(Event.LINK_SILENT, "vm", link.remote().map(Member::incarnation));
      link.close();
    }
  }

  /** Returns the number of open links, with those whose remote VM is not yet identified. */
  public int linkCount() {
    return links.values().stream().mapToInt(List::size).sum() + unidentifiedLinks.size();
  }
}
