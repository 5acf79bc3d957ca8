package org.mustardstage.entry.gateway;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
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
