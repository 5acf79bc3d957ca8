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

/**
 * The idempotency keys whose home is this entry VM, that is, whose prefix it issued. Stores the
 * outcomes of requests with these keys and notifies duplicates that wait for them. All traffic
 * threads share one instance.
 */
final class IdempotencyKeyRegistry {
  private final long startNanos = System.nanoTime();
  private final long epochNanos;
  private final IdempotencyKeyStore store;
  private final Map<IdempotencyKey, List<Consumer<KeyedOutcome>>> waiters = new HashMap<>();

  IdempotencyKeyRegistry(TrafficLimits limits) {
    epochNanos = TimeUnit.MILLISECONDS.toNanos(limits.keyEpochMillis());
    store = new IdempotencyKeyStore(limits.keyStore());
  }

  /** Returns the key prefix to issue now. */
  KeyPrefix currentPrefix(VmIncarnation self) {
    return new KeyPrefix(self, currentEpoch());
  }

  /** Returns whether the prefix of {@code key} can already have been issued. */
  boolean wasIssued(IdempotencyKey key) {
    return key.prefix().issueEpoch() <= currentEpoch();
  }

  /**
   * Claims {@code key} for a request and returns whether the request may run.
   *
   * @param onComplete called with the outcome of the running request if the claim is {@link
   *     KeyClaim.Wait}
   */
  synchronized KeyClaim claim(
      IdempotencyKey key, long requestDigest, Consumer<KeyedOutcome> onComplete) {
    KeyClaim claim = store.claim(key, requestDigest, currentEpoch());
    if (claim instanceof KeyClaim.Wait) {
      waiters.computeIfAbsent(key, k -> new ArrayList<>()).add(onComplete);
    }
    return claim;
  }

  /** Records the outcome of a request whose claim was to run, and notifies waiting duplicates. */
  void complete(IdempotencyKey key, KeyedOutcome outcome) {
    List<Consumer<KeyedOutcome>> waiting;
    synchronized (this) {
      store.complete(key, outcome);
      waiting = waiters.remove(key);
    }
    if (waiting != null) {
      waiting.forEach(waiter -> waiter.accept(outcome));
    }
  }

  private long currentEpoch() {
    return (System.nanoTime() - startNanos) / epochNanos;
  }
}
