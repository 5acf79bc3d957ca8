package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberStatus;
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
 * a block. Confined to the control thread.
 */
final class CrashExchange {
  private static final int COLLECTORS_PER_REQUEST = 2;

  private final VmId self;
  private final LongSupplier clock;
  private final BiConsumer<Member, PeerMessage> sender;
  private final Consumer<List<RequestBlock>> listener;
  private final CrashingRequests requests = new CrashingRequests();

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
    count(view, lost);
  }

  /** Reports that an endpoint has responded to a request of which an attempt was lost before. */
  void onSurvived(MemberView view, RequestFingerprint fingerprint) {
    sendToCollectors(view, fingerprint, new PeerMessage.RequestSurvived(fingerprint));
    requests.recordSurvived(fingerprint);
  }

  private void sendToCollectors(
      MemberView view, RequestFingerprint fingerprint, PeerMessage message) {
    List<Member> alive =
        view.statuses().stream().filter(MemberStatus::isAlive).map(MemberStatus::member).toList();
    Representatives.first(COLLECTORS_PER_REQUEST, "crash/" + fingerprint, alive).stream()
        .filter(member -> !member.vm().equals(self))
        .forEach(member -> sender.accept(member, message));
  }

  /** Counts an attempt that another VM has lost. */
  void onAttemptLost(MemberView view, LostAttempt lost) {
    count(view, lost);
  }

  /** Applies that another VM got a response to a request. */
  void onRequestSurvived(RequestFingerprint fingerprint) {
    requests.recordSurvived(fingerprint);
  }

  private void count(MemberView view, LostAttempt lost) {
    Optional<RequestBlock> block = requests.recordLost(clock.getAsLong(), lost);
    if (block.isEmpty()) {
      return;
    }
    log(block.get(), "lost attempts");
    listener.accept(ImmutableList.of(block.get()));
    PeerMessage message = new PeerMessage.RequestBlocks(ImmutableList.of(block.get()));
    view.statuses().stream()
        .filter(MemberStatus::isAlive)
        .map(MemberStatus::member)
        .filter(member -> !member.vm().equals(self))
        .forEach(member -> sender.accept(member, message));
  }

  /** Applies the blocks that another VM tells. */
  void onBlocks(List<RequestBlock> blocks) {
    List<RequestBlock> news =
        blocks.stream().filter(block -> requests.applyBlock(clock.getAsLong(), block)).toList();
    if (!news.isEmpty()) {
      news.forEach(block -> log(block, "another VM"));
      listener.accept(news);
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
