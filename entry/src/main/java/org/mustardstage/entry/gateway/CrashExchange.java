package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.member.Representatives;
import org.mustardstage.core.placement.CrashingRequests;
import org.mustardstage.core.placement.LostAttempt;
import org.mustardstage.core.placement.RequestBlock;
import org.mustardstage.core.placement.RequestFingerprint;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;
import org.mustardstage.entry.peer.PeerMessage;

/**
 * Collects the lost attempts of all VMs and tells all VMs which requests are blocked.
 *
 * <p>Two VMs, chosen by the request's fingerprint, hear of each lost attempt of a request, so that
 * an endpoint that ends with many requests doesn't cause messages between all VMs. All VMs hear of
 * a block: the VM that blocks a request tells all of them several times, and each VM passes it on
 * to two others once, as messages are lost while a link is down. What one VM alone has lost is
 * blocked at that VM only. Confined to the control thread.
 */
final class CrashExchange {
  /** Two, so that one of them may fail. */
  private static final int COLLECTORS_PER_REQUEST = 2;

  /** What one VM alone has lost may be the fault of that VM. */
  private static final int REPORTERS_UNTIL_BLOCKED = 2;

  /** To how many VMs each VM passes on a block that is new to it. */
  private static final int PASSED_ON_TO = 2;

  private static final int REPEATS = 5;
  private static final long REPEAT_INTERVAL_NANOS = 1_000_000_000L;

  private final VmId self;
  private final LongSupplier clock;
  private final BiConsumer<Member, PeerMessage> sender;
  private final Consumer<List<RequestBlock>> listener;
  private final CrashingRequests requests = new CrashingRequests(REPORTERS_UNTIL_BLOCKED);

  /** What this VM has lost itself, which blocks a request here only. */
  private final CrashingRequests ownRequests = new CrashingRequests(/* minReporters= */ 1);

  private final List<Repeat> repeats = new ArrayList<>();

  /** A block that is told to all VMs again. */
  private record Repeat(RequestFingerprint fingerprint, int remaining, long atNanos) {}

  CrashExchange(
      VmId self,
      LongSupplier clock,
      BiConsumer<Member, PeerMessage> sender,
      Consumer<List<RequestBlock>> listener) {
    this.self = self;
    this.clock = clock;
    this.sender = sender;
    this.listener = listener;
  }

  /** Reports a lost attempt of this VM, and counts it here too, in case no other VM is reached. */
  void onLost(MemberView view, LostAttempt lost) {
    sendToCollectors(view, lost.fingerprint(), new PeerMessage.AttemptLost(lost));
    ownRequests
        .recordLost(clock.getAsLong(), self, lost)
        .ifPresent(
            block -> {
              log(block, "lost attempts of this VM, so only here");
              listener.accept(ImmutableList.of(block));
            });
    count(view, self, lost);
  }

  /** Reports that an endpoint has responded to a request of which an attempt was lost before. */
  void onSurvived(MemberView view, RequestFingerprint fingerprint) {
    sendToCollectors(view, fingerprint, new PeerMessage.RequestSurvived(fingerprint));
    onRequestSurvived(fingerprint);
  }

  private void sendToCollectors(
      MemberView view, RequestFingerprint fingerprint, PeerMessage message) {
    Representatives.first(COLLECTORS_PER_REQUEST, "crash/" + fingerprint, view.alive()).stream()
        .filter(member -> !member.vm().equals(self))
        .forEach(member -> sender.accept(member, message));
  }

  /** Counts an attempt that another VM has lost; tells it if it has missed a block. */
  void onAttemptLost(MemberView view, Member from, LostAttempt lost) {
    count(view, from.vm(), lost);
    requests
        .blockOf(clock.getAsLong(), lost.fingerprint())
        .ifPresent(
            block -> sender.accept(from, new PeerMessage.RequestBlocks(ImmutableList.of(block))));
  }

  /** Applies that another VM got a response to a request. */
  void onRequestSurvived(RequestFingerprint fingerprint) {
    requests.recordSurvived(fingerprint);
    ownRequests.recordSurvived(fingerprint);
  }

  private void count(MemberView view, VmId reporter, LostAttempt lost) {
    Optional<RequestBlock> block = requests.recordLost(clock.getAsLong(), reporter, lost);
    if (block.isEmpty()) {
      return;
    }
    log(block.get(), "lost attempts");
    listener.accept(ImmutableList.of(block.get()));
    sendToAll(view, block.get());
    repeats.add(
        new Repeat(block.get().fingerprint(), REPEATS, clock.getAsLong() + REPEAT_INTERVAL_NANOS));
  }

  /** Tells all VMs again about the blocks of which this VM has told them lately. */
  void onTick(long nowNanos, MemberView view) {
    if (repeats.isEmpty()) {
      return;
    }
    List<Repeat> due = repeats.stream().filter(each -> nowNanos - each.atNanos() >= 0).toList();
    repeats.removeAll(due);
    for (Repeat repeat : due) {
      requests.blockOf(nowNanos, repeat.fingerprint()).ifPresent(block -> sendToAll(view, block));
      if (repeat.remaining() > 1) {
        repeats.add(
            new Repeat(
                repeat.fingerprint(), repeat.remaining() - 1, nowNanos + REPEAT_INTERVAL_NANOS));
      }
    }
  }

  private void sendToAll(MemberView view, RequestBlock block) {
    PeerMessage message = new PeerMessage.RequestBlocks(ImmutableList.of(block));
    view.alive().stream()
        .filter(member -> !member.vm().equals(self))
        .forEach(member -> sender.accept(member, message));
  }

  /** Applies the blocks that another VM tells. */
  void onBlocks(MemberView view, List<RequestBlock> blocks) {
    List<RequestBlock> news =
        blocks.stream().filter(block -> requests.applyBlock(clock.getAsLong(), block)).toList();
    if (!news.isEmpty()) {
      news.forEach(block -> log(block, "another VM"));
      listener.accept(news);
      news.forEach(block -> passOn(view, block));
    }
  }

  /** Tells the VMs that follow this one in an order that all VMs agree on. */
  private void passOn(MemberView view, RequestBlock block) {
    List<Member> order = view.alive().stream().sorted(Comparator.comparing(Member::vm)).toList();
    int ownIndex = Iterables.indexOf(order, member -> member.vm().equals(self));
    PeerMessage message = new PeerMessage.RequestBlocks(ImmutableList.of(block));
    for (int i = 1; i <= Math.min(PASSED_ON_TO, order.size() - 1); i++) {
      sender.accept(order.get(Math.floorMod(ownIndex + i, order.size())), message);
    }
  }

  /** Tells a VM that may have just started, or was cut off, which requests are blocked. */
  void onHello(Member from) {
    ImmutableList<RequestBlock> blocks = requests.blocks(clock.getAsLong());
    if (!blocks.isEmpty()) {
      sender.accept(from, new PeerMessage.RequestBlocks(blocks));
    }
  }

  private static void log(RequestBlock block, String source) {
    EventLog.log(
        Event.REQUEST_BLOCKED,
        "fingerprint",
        block.fingerprint(),
        "timesBlocked",
        block.timesBlocked(),
        "forMillis",
        block.remainingMillis(),
        "why",
        source);
  }
}
