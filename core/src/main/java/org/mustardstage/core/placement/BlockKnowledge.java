package org.mustardstage.core.placement;

import java.time.Duration;

/**
 * Says whether a VM knows which requests are blocked because they end endpoints. One that has just
 * started hears of the blocks from the first VM that it meets. Until then it must not send a
 * request again whose endpoint was lost: the request may be one that ends each endpoint.
 *
 * <p>Handles many VMs that start while such a request comes again and again.
 */
public final class BlockKnowledge {
  /** A VM that meets no other one has nobody to hear from. */
  private static final long MAX_WAIT_NANOS = Duration.ofSeconds(2).toNanos();

  /** The blocks follow the first message of a VM. */
  private static final long WAIT_AFTER_PEER_NANOS = Duration.ofMillis(250).toNanos();

  private long completeNanos;

  /**
   * Creates the knowledge of a VM that starts at {@code startNanos}.
   *
   * @param expectsPeers whether there may be other VMs
   */
  public BlockKnowledge(long startNanos, boolean expectsPeers) {
    completeNanos = expectsPeers ? startNanos + MAX_WAIT_NANOS : startNanos;
  }

  /** Records that another VM is known to be alive. */
  public void recordPeer(long nowNanos) {
    if (completeNanos - nowNanos > WAIT_AFTER_PEER_NANOS) {
      completeNanos = nowNanos + WAIT_AFTER_PEER_NANOS;
    }
  }

  /** Returns whether this VM has had the time to hear of the blocks. */
  public boolean isComplete(long nowNanos) {
    return nowNanos - completeNanos >= 0;
  }
}
