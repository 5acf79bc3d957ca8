package org.mustardstage.core.placement;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mustardstage.core.id.VmId;

/**
 * Recognizes a request that ends each endpoint that runs it, from the attempts that all VMs have
 * lost, and blocks it.
 *
 * <p>When an endpoint ends, every request that it ran or queued is lost, and nothing tells which
 * one ended it. A request is therefore blocked only when it was lost at three endpoints without a
 * response in between, and by as many VMs as must agree: what one VM alone has lost may be its own
 * fault. A block ends after a time, in case it hit the wrong request; if the request is then lost
 * once more, it is blocked at once and for longer.
 */
public final class CrashingRequests {
  private static final int CRASHES_UNTIL_BLOCKED = 3;

  /** How long a lost attempt counts. */
  private static final long SUSPICION_NANOS = 60_000_000_000L;

  /** Bounds the harm to a request that is blocked by mistake. */
  private static final long FIRST_BLOCK_MILLIS = 300_000L;

  private static final long MAX_BLOCK_MILLIS = 86_400_000L;

  /** Bounds the memory; the requests that were lost least recently are forgotten. */
  private static final int MAX_SUSPECTS = 10_000;

  private final int minReporters;

  /** The suspected requests, the one that was lost least recently first. */
  private final Map<RequestFingerprint, Suspect> suspects =
      new LinkedHashMap<>(16, 0.75f, /* accessOrder= */ true);

  private final BlockedRequests blocked = new BlockedRequests();

  private static final class Suspect {
    private final Set<EndpointIncarnation> ended = new HashSet<>();
    private final Set<VmId> reporters = new HashSet<>();
    private long lastLostNanos;
  }

  /**
   * Creates an empty set of requests.
   *
   * @param minReporters how many VMs must have lost a request before it is blocked
   */
  public CrashingRequests(int minReporters) {
    this.minReporters = minReporters;
  }

  /**
   * Records an attempt that {@code reporter} has lost.
   *
   * @return the block that other VMs must hear of, if the request is blocked from now on
   */
  public Optional<RequestBlock> recordLost(long nowNanos, VmId reporter, LostAttempt lost) {
    RequestFingerprint fingerprint = lost.fingerprint();
    if (blocked.find(nowNanos, fingerprint).isPresent()) {
      return Optional.empty();
    }
    forgetOldSuspects(nowNanos);
    Suspect suspect = suspects.computeIfAbsent(fingerprint, key -> new Suspect());
    suspect.lastLostNanos = nowNanos;
    suspect.ended.add(lost.endpoint());
    suspect.reporters.add(reporter);
    int timesBlocked = blocked.timesBlocked(fingerprint);
    if (timesBlocked == 0
        && (suspect.ended.size() < CRASHES_UNTIL_BLOCKED
            || suspect.reporters.size() < minReporters)) {
      return Optional.empty();
    }
    RequestBlock block = new RequestBlock(fingerprint, timesBlocked + 1, blockMillis(timesBlocked));
    return applyBlock(nowNanos, block) ? Optional.of(block) : Optional.empty();
  }

  private static long blockMillis(int timesBlockedBefore) {
    long millis = FIRST_BLOCK_MILLIS;
    for (int i = 0; i < timesBlockedBefore && millis < MAX_BLOCK_MILLIS; i++) {
      millis *= 2;
    }
    return Math.min(MAX_BLOCK_MILLIS, millis);
  }

  private void forgetOldSuspects(long nowNanos) {
    Iterator<Suspect> leastRecentFirst = suspects.values().iterator();
    while (leastRecentFirst.hasNext()) {
      boolean isOld = nowNanos - leastRecentFirst.next().lastLostNanos > SUSPICION_NANOS;
      if (!isOld && suspects.size() < MAX_SUSPECTS) {
        return;
      }
      leastRecentFirst.remove();
    }
  }

  /** Records that an endpoint has run the request and responded. */
  public void recordSurvived(RequestFingerprint fingerprint) {
    suspects.remove(fingerprint);
  }

  /** Blocks a request; returns whether that is news. */
  public boolean applyBlock(long nowNanos, RequestBlock block) {
    suspects.remove(block.fingerprint());
    return blocked.add(nowNanos, block);
  }

  /** Returns the block of a request, if it is blocked now. */
  public Optional<RequestBlock> blockOf(long nowNanos, RequestFingerprint fingerprint) {
    return blocked.find(nowNanos, fingerprint);
  }

  /** Returns the number of requests that are suspected and not blocked. */
  int suspectCount() {
    return suspects.size();
  }

  /** Returns what a VM that has just started must hear. */
  public ImmutableList<RequestBlock> blocks(long nowNanos) {
    return blocked.list(nowNanos);
  }
}
