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
 * The connections to other entry VMs. A message goes over the connection to its receiver that was
 * heard of last; when none was heard of lately, over a new one. Used on the control thread only.
 */
public final class PeerNetwork implements PeerLink.Listener {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final long REDIAL_NANOS = Duration.ofMillis(500).toNanos();
  private static final int MAX_WAITING_MESSAGES = 256;

  private final NioReactor reactor;
  private final Supplier<Member> self;
  private final LongSupplier clock;
  private final Receiver receiver;
  private final LinkStats stats = new LinkStats();
  private final Map<VmId, List<PeerLink>> links = new HashMap<>();
  private final Set<PeerLink> unidentified = new HashSet<>();
  private final Map<HostAndPort, List<Waiting>> dialling = new HashMap<>();
  private final Map<PeerLink, HostAndPort> dialled = new HashMap<>();
  private final Map<HostAndPort, Long> dialledNanos = new HashMap<>();
  private final SimpleServer server;
  private long nextCorrelationId = 1;
  private boolean stopped;

  /** A message that waits until its receiver has introduced itself as the run that it is for. */
  private record Waiting(VmIncarnation to, PeerMessage message) {}

  /** Takes in what other VMs send. */
  public interface Receiver {
    /** A VM introduced itself on a new connection. */
    void onHello(Member from);

    /** A VM sent a message. */
    void onMessage(Member from, PeerMessage message);

    /** Returns how long a connection to {@code member} may be silent before it is replaced. */
    long silenceTimeoutNanos(Member member);
  }

  /** Creates the connections of {@code self}, listening on its peer address. */
  public PeerNetwork(
      NioReactor reactor, Supplier<Member> self, LongSupplier clock, Receiver receiver) {
    this.reactor = reactor;
    this.self = self;
    this.clock = clock;
    this.receiver = receiver;
    HostAndPort address = self.get().peerAddress();
    this.server =
        SimpleServer.builder(reactor, this::accept)
            .withListenAddress(new InetSocketAddress(address.host(), address.port()))
            .build();
  }

  /** Starts to accept connections. */
  public void start() throws IOException {
    server.listen();
  }

  /** Closes all connections. */
  public Promise<?> stop() {
    stopped = true;
    List<PeerLink> all = new ArrayList<>(unidentified);
    links.values().forEach(all::addAll);
    all.forEach(PeerLink::close);
    return server.close();
  }

  /** Returns the counts of what passed over the connections. */
  public LinkStats stats() {
    return stats;
  }

  private void accept(ITcpSocket socket) {
    open(socket);
  }

  private PeerLink open(ITcpSocket socket) {
    PeerLink link = new PeerLink(socket, this, stats, clock.getAsLong());
    unidentified.add(link);
    link.send(nextCorrelationId++, new PeerMessage.Hello(self.get()));
    link.startReading();
    return link;
  }

  /** Sends {@code message} to {@code to}. It may be lost. */
  public void send(Member to, PeerMessage message) {
    if (stopped) {
      return;
    }
    Optional<PeerLink> link = bestLink(to);
    if (link.isPresent()) {
      link.get().send(nextCorrelationId++, message);
      return;
    }
    dial(to.peerAddress(), Optional.of(new Waiting(to.incarnation(), message)));
  }

  /** Connects to {@code address} so that the VM there introduces itself. */
  public void connect(HostAndPort address) {
    dial(address, Optional.empty());
  }

  private Optional<PeerLink> bestLink(Member to) {
    long nowNanos = clock.getAsLong();
    long silentAfterNanos = receiver.silenceTimeoutNanos(to);
    return links.getOrDefault(to.vm(), List.of()).stream()
        .filter(link -> link.remote().filter(r -> sameRun(r, to)).isPresent())
        .max(Comparator.comparingLong(PeerLink::lastHeardNanos))
        .filter(link -> nowNanos - link.lastHeardNanos() <= silentAfterNanos);
  }

  private static boolean sameRun(Member first, Member second) {
    return first.incarnation().equals(second.incarnation());
  }

  private void dial(HostAndPort address, Optional<Waiting> message) {
    List<Waiting> waiting = dialling.get(address);
    if (waiting != null) {
      message.filter(m -> waiting.size() < MAX_WAITING_MESSAGES).ifPresent(waiting::add);
      return;
    }
    long nowNanos = clock.getAsLong();
    Long lastNanos = dialledNanos.get(address);
    if (lastNanos != null && nowNanos - lastNanos < REDIAL_NANOS) {
      return;
    }
    dialledNanos.put(address, nowNanos);
    List<Waiting> first = new ArrayList<>();
    message.ifPresent(first::add);
    dialling.put(address, first);
    TcpSocket.connect(
            reactor, new InetSocketAddress(address.host(), address.port()), CONNECT_TIMEOUT, null)
        .whenResult(socket -> onDialled(address, socket))
        .whenException(e -> onDialFailed(address, e));
  }

  private void onDialFailed(HostAndPort address, Exception exception) {
    dialling.remove(address);
    EventLog.log(Event.LINK_CLOSED, exception, "address", address);
  }

  private void onDialled(HostAndPort address, ITcpSocket socket) {
    PeerLink link = open(socket);
    dialled.put(link, address);
    if (stopped) {
      link.close();
    }
  }

  @Override
  public void onMessage(PeerLink link, PeerCodec.Frame frame) {
    link.heard(clock.getAsLong());
    switch (frame.message()) {
      case PeerMessage.Hello hello -> onHello(link, hello.member());
      default -> onIdentifiedMessage(link, frame.message());
    }
  }

  private void onHello(PeerLink link, Member member) {
    unidentified.remove(link);
    link.identify(member);
    links.computeIfAbsent(member.vm(), key -> new ArrayList<>()).add(link);
    EventLog.log(Event.LINK_OPENED, "vm", member.incarnation());
    sendWaiting(link, member);
    receiver.onHello(member);
  }

  private void sendWaiting(PeerLink link, Member member) {
    takeWaiting(link).stream()
        .filter(each -> each.to().equals(member.incarnation()))
        .forEach(each -> link.send(nextCorrelationId++, each.message()));
  }

  /** Returns what waits for the other end of a link that was dialled. */
  private List<Waiting> takeWaiting(PeerLink link) {
    HostAndPort address = dialled.remove(link);
    List<Waiting> waiting = address == null ? null : dialling.remove(address);
    return waiting == null ? List.of() : waiting;
  }

  private void onIdentifiedMessage(PeerLink link, PeerMessage message) {
    Optional<Member> from = link.remote();
    if (from.isEmpty()) {
      onBadFrame(link, new FrameProblem.Malformed("a message before hello"));
      link.close();
      return;
    }
    receiver.onMessage(from.get(), message);
  }

  @Override
  public void onBadFrame(PeerLink link, FrameProblem problem) {
    EventLog.log(Event.BAD_FRAME, "vm", link.remote().map(Member::incarnation), "why", problem);
  }

  @Override
  public void onClosed(PeerLink link) {
    unidentified.remove(link);
    var unused = takeWaiting(link);
    link.remote().ifPresent(member -> forget(member, link));
  }

  private void forget(Member member, PeerLink link) {
    List<PeerLink> list = links.get(member.vm());
    if (list != null) {
      list.remove(link);
      if (list.isEmpty()) {
        links.remove(member.vm());
      }
    }
    EventLog.log(Event.LINK_CLOSED, "vm", member.incarnation());
  }

  /** Closes connections that were silent for long; the next message opens a new one. */
  public void closeSilentLinks() {
    long nowNanos = clock.getAsLong();
    List<PeerLink> all = new ArrayList<>(unidentified);
    links.values().forEach(all::addAll);
    for (PeerLink link : all) {
      closeIfSilent(nowNanos, link);
    }
  }

  private void closeIfSilent(long nowNanos, PeerLink link) {
    long boundNanos =
        link.remote().map(receiver::silenceTimeoutNanos).orElse(CONNECT_TIMEOUT.toNanos());
    if (nowNanos - link.lastHeardNanos() > 2 * boundNanos) {
      EventLog.log(Event.LINK_SILENT, "vm", link.remote().map(Member::incarnation));
      link.close();
    }
  }

  /** Returns the number of open connections. */
  public int linkCount() {
    return links.values().stream().mapToInt(List::size).sum() + unidentified.size();
  }
}
