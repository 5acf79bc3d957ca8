package org.mustardstage.core.placement;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The requests that are blocked, each for a time. */
public final class BlockedRequests {
  /** How long it counts, after a block has ended, that the request was blocked: a day. */
  private static final long MEMORY_NANOS = 86_400_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Map<RequestFingerprint, Block> blocks = new HashMap<>();

  private record Block(int timesBlocked, long untilNanos) {}

  /**
   * Blocks a request, unless it is blocked for as often already.
   *
   * @return whether it was not
   */
  public boolean add(long nowNanos, RequestBlock block) {
    blocks.values().removeIf(each -> nowNanos - each.untilNanos() > MEMORY_NANOS);
    Block known = blocks.get(block.fingerprint());
    if (known != null && known.timesBlocked() >= block.timesBlocked()) {
      return false;
    }
    blocks.put(
        block.fingerprint(),
        new Block(block.timesBlocked(), nowNanos + block.remainingMillis() * NANOS_PER_MILLI));
    return true;
  }

  /** Returns whether no request was ever blocked, so that none needs a fingerprint. */
  public boolean isEmpty() {
    return blocks.isEmpty();
  }

  /** Returns the block of a request, if it is blocked now. */
  public Optional<RequestBlock> find(long nowNanos, RequestFingerprint fingerprint) {
    return Optional.ofNullable(blocks.get(fingerprint))
        .filter(block -> nowNanos - block.untilNanos() < 0)
        .map(block -> requestBlock(nowNanos, fingerprint, block));
  }

  private static RequestBlock requestBlock(
      long nowNanos, RequestFingerprint fingerprint, Block block) {
    long remainingMillis = Math.max(0, (block.untilNanos() - nowNanos) / NANOS_PER_MILLI);
    return new RequestBlock(fingerprint, block.timesBlocked(), remainingMillis);
  }

  /** Returns how often a request was blocked. */
  int timesBlocked(RequestFingerprint fingerprint) {
    return Optional.ofNullable(blocks.get(fingerprint)).map(Block::timesBlocked).orElse(0);
  }

  /** Returns all blocks, also those that have ended but count if the request comes again. */
  public ImmutableList<RequestBlock> list(long nowNanos) {
    return blocks.entrySet().stream()
        .map(entry -> requestBlock(nowNanos, entry.getKey(), entry.getValue()))
        .collect(ImmutableList.toImmutableList());
  }
}
