package org.mustardstage.entry.gateway;

import java.util.List;
import java.util.OptionalLong;
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

  /** Returns how much longer the request is blocked, in milliseconds; empty if it is not. */
  OptionalLong blockedMillis(CallerRequest request) {
    return blocked.isEmpty()
        ? OptionalLong.empty()
        : blocked.remainingMillis(System.nanoTime(), request.fingerprint());
  }

  void reportLost(LostAttempt lost) {
    listener.onLost(lost);
  }

  void reportSurvived(RequestFingerprint fingerprint) {
    listener.onSurvived(fingerprint);
  }
}
