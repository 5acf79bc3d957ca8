package org.mustardstage.core.outcome;

import com.google.common.base.Preconditions;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Stores the outcomes of requests by idempotency key, for the keys whose home is one incarnation of
 * an entry VM, so that a retry gets the stored outcome instead of running the request again.
 *
 * <p>The store is bounded by entries, bytes and age. An eviction raises the eviction horizon to the
 * issue epoch of the evicted key. A key that is not stored and was issued at or before the horizon
 * may have run, so its request is not run. A key that is not stored and was issued after the
 * horizon is certainly new.
 */
public final class IdempotencyKeyStore {
  private static final long NOTHING_EVICTED = -1;

  private final IdempotencyKeyStoreLimits limits;
  private final Map<IdempotencyKey, Entry> entries = new HashMap<>();
  private final PriorityQueue<Entry> completed = new PriorityQueue<>(Entry.OLDEST_ISSUE_FIRST);
  private long storedBytes;
  private long evictionHorizonEpoch = NOTHING_EVICTED;

  /** Creates an empty store. */
  public IdempotencyKeyStore(IdempotencyKeyStoreLimits limits) {
    this.limits = limits;
  }

  /**
   * Decides whether a request with {@code key} may run, and if so stores the key as running.
   *
   * @param requestDigest the digest by which different requests with the same key are detected
   * @param currentEpoch the newest epoch in which a key prefix was issued
   */
  public KeyClaim claim(IdempotencyKey key, long requestDigest, long currentEpoch) {
    Entry entry = entries.get(key);
    if (entry != null) {
      return claimExisting(entry, requestDigest);
    }
    evictOlderThan(currentEpoch - limits.maxAgeEpochs());
    if (key.prefix().issueEpoch() <= evictionHorizonEpoch) {
      return new KeyClaim.Forgotten();
    }
    if (!ensureCapacity()) {
      return new KeyClaim.Full();
    }
    entries.put(key, new Entry(key, requestDigest));
    return new KeyClaim.Run();
  }

  /**
   * Stores the outcome of a running request. A key whose request did not run is removed, so that a
   * retry may run; no outcome is lost by that, so the eviction horizon doesn't change.
   */
  public void complete(IdempotencyKey key, KeyedOutcome outcome) {
    Entry entry = entries.get(key);
    Preconditions.checkState(
        entry != null && entry.outcome.isEmpty(),
        "no request is running with idempotency key %s",
        key);
    if (outcome instanceof KeyedOutcome.DidNotRun) {
      entries.remove(key);
      return;
    }
    KeyedOutcome stored = limits.fits(outcome) ? outcome : new KeyedOutcome.NotStored();
    entry.outcome = Optional.of(stored);
    storedBytes += entry.sizeBytes();
    completed.add(entry);
    while (storedBytes > limits.maxBytes()) {
      evict(completed.remove());
    }
  }

  /** Returns the newest issue epoch of an evicted key, or a negative number if there is none. */
  public long evictionHorizonEpoch() {
    return evictionHorizonEpoch;
  }

  /** Returns the number of stored keys, with those of running requests. */
  public int size() {
    return entries.size();
  }

  /** Returns the approximate size of the stored outcomes. */
  public long storedBytes() {
    return storedBytes;
  }

  private KeyClaim claimExisting(Entry entry, long requestDigest) {
    if (entry.requestDigest != requestDigest) {
      return new KeyClaim.Reused();
    }
    if (entry.outcome.isEmpty()) {
      return new KeyClaim.Wait();
    }
    return new KeyClaim.Replay(entry.outcome.get());
  }

  private boolean ensureCapacity() {
    if (entries.size() < limits.maxEntries()) {
      return true;
    }
    if (completed.isEmpty()) {
      return false;
    }
    evict(completed.remove());
    return true;
  }

  private void evictOlderThan(long epoch) {
    while (!completed.isEmpty() && completed.peek().issueEpoch() < epoch) {
      evict(completed.remove());
    }
  }

  private void evict(Entry entry) {
    entries.remove(entry.key);
    storedBytes -= entry.sizeBytes();
    evictionHorizonEpoch = Math.max(evictionHorizonEpoch, entry.issueEpoch());
  }

  private static final class Entry {
    static final Comparator<Entry> OLDEST_ISSUE_FIRST = Comparator.comparingLong(Entry::issueEpoch);
    private static final int OVERHEAD_BYTES = 256;

    final IdempotencyKey key;
    final long requestDigest;
    Optional<KeyedOutcome> outcome = Optional.empty();

    Entry(IdempotencyKey key, long requestDigest) {
      this.key = key;
      this.requestDigest = requestDigest;
    }

    long issueEpoch() {
      return key.prefix().issueEpoch();
    }

    long sizeBytes() {
      long responseBytes =
          outcome
              .filter(KeyedOutcome.Stored.class::isInstance)
              .map(stored -> ((KeyedOutcome.Stored) stored).response().sizeBytes())
              .orElse(0L);
      return OVERHEAD_BYTES + key.text().length() + responseBytes;
    }
  }
}
