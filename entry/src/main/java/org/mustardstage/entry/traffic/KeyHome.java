package org.mustardstage.entry.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.outcome.IdempotencyKey;
import org.mustardstage.core.outcome.IdempotencyKeyStore;
import org.mustardstage.core.outcome.KeyClaim;
import org.mustardstage.core.outcome.KeyPrefix;
import org.mustardstage.core.outcome.KeyedOutcome;

/** The idempotency keys that this entry VM is home to. All traffic threads share it. */
final class KeyHome {
  private final long startNanos = System.nanoTime();
  private final long epochNanos;
  private final IdempotencyKeyStore memory;
  private final Map<IdempotencyKey, List<Consumer<KeyedOutcome>>> waiters = new HashMap<>();

  KeyHome(TrafficLimits limits) {
    epochNanos = TimeUnit.MILLISECONDS.toNanos(limits.keyEpochMillis());
    memory = new IdempotencyKeyStore(limits.keyMemory());
  }

  /** Returns the prefix to hand out now. */
  KeyPrefix currentPrefix(VmIncarnation self) {
    return new KeyPrefix(self, currentEpoch());
  }

  /** Returns whether the prefix of {@code key} can have been issued. */
  boolean wasIssued(IdempotencyKey key) {
    return key.prefix().issueEpoch() <= currentEpoch();
  }

  /**
   * Returns what a request with {@code key} may do.
   *
   * @param onEnd called with the end of the running request when the claim is to wait
   */
  synchronized KeyClaim claim(
      IdempotencyKey key, long requestDigest, Consumer<KeyedOutcome> onEnd) {
    KeyClaim claim = memory.claim(key, requestDigest, currentEpoch());
    if (claim instanceof KeyClaim.Wait) {
      waiters.computeIfAbsent(key, k -> new ArrayList<>()).add(onEnd);
    }
    return claim;
  }

  /** Records the end of a request that was told to run, and tells those that wait for it. */
  void finish(IdempotencyKey key, KeyedOutcome end) {
    List<Consumer<KeyedOutcome>> waiting;
    synchronized (this) {
      memory.complete(key, end);
      waiting = waiters.remove(key);
    }
    if (waiting != null) {
      waiting.forEach(waiter -> waiter.accept(end));
    }
  }

  private long currentEpoch() {
    return (System.nanoTime() - startNanos) / epochNanos;
  }
}
