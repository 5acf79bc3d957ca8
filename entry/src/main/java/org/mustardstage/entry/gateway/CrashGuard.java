package org.mustardstage.entry.gateway;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.placement.BlockKnowledge;
import org.mustardstage.core.placement.BlockedRequests;
import org.mustardstage.core.placement.LostAttempt;
import org.mustardstage.core.placement.RequestBlock;
import org.mustardstage.core.placement.RequestFingerprint;

/**
 * Rejects requests that have ended several endpoints, and reports the attempts that are lost on
 * this VM. Used on the traffic thread only.
 */
final class CrashGuard {
  private final BlockedRequests blocked = new BlockedRequests();
  private final BlockKnowledge knowledge;
  private Listener listener = new IgnoringListener();

  /** Hears of the attempts of this VM. */
  interface Listener {
    /** Called when an attempt was lost because its endpoint has ended. */
    void onLost(LostAttempt lost);

    /** Called when an endpoint has responded to a request of which an attempt was lost before. */
    void onSurvived(RequestFingerprint fingerprint);
  }

  private static final class IgnoringListener implements Listener {
    @Override
    public void onLost(LostAttempt lost) {}

    @Override
    public void onSurvived(RequestFingerprint fingerprint) {}
  }

  /** Creates a guard of a VM that starts now; {@code expectsPeers} if there may be others. */
  CrashGuard(boolean expectsPeers) {
    this.knowledge = new BlockKnowledge(System.nanoTime(), expectsPeers);
  }

  /** Records which VMs are known, of which the others tell this one the blocks. */
  void setMembers(MemberView view) {
    if (view.alive().size() > 1) {
      knowledge.recordPeer(System.nanoTime());
    }
  }

  /** Returns whether a request may be sent again of which an attempt was lost. */
  boolean allowsRetryAfterLoss() {
    return knowledge.isComplete(System.nanoTime());
  }

  void setListener(Listener newListener) {
    listener = newListener;
  }

  /** Blocks requests that have ended several endpoints. */
  void block(List<RequestBlock> blocks) {
    long nowNanos = System.nanoTime();
    blocks.forEach(block -> blocked.add(nowNanos, block));
  }

  /** Returns the block of a request, if it is blocked now. */
  Optional<RequestBlock> findBlock(Supplier<RequestFingerprint> fingerprint) {
    return blocked.isEmpty()
        ? Optional.empty()
        : blocked.find(System.nanoTime(), fingerprint.get());
  }

  void reportLost(LostAttempt lost) {
    listener.onLost(lost);
  }

  void reportSurvived(RequestFingerprint fingerprint) {
    listener.onSurvived(fingerprint);
  }
}
