package org.mustardstage.core.outcome;

import com.google.common.base.Preconditions;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Remembers the outcomes of the idempotency keys that one run of an entry VM is home to.
 *
 * <p>Memory is bounded by entries, bytes and age. What is dropped raises the forget horizon to the
 * issue epoch of the dropped key: a key that is not remembered and was issued at or before the
 * horizon may have run, and is refused. A key issued after the horizon that is not remembered is
 * surely new.
 */
public final class IdempotencyKeyStore {
  private static final long NOTHING_EVICTED = -1;

  private final IdempotencyKeyStoreLimits limits;
  private final Map<IdempotencyKey, Entry> entries = new HashMap<>();
  private final PriorityQueue<Entry> completed = new PriorityQueue<>(Entry.OLDEST_ISSUE_FIRST);
  private long storedBytes;
  private long evictionHorizonEpoch = NOTHING_EVICTED;

  /** Creates an empty memory. */
  public IdempotencyKeyStore(IdempotencyKeyStoreLimits limits) {
    this.limits = limits;
  }

  /**
   * Returns what a request with {@code key} may do.
   *
   * @param requestDigest tells apart different requests under one key
   * @param currentEpoch the newest epoch of which a prefix was issued
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
   * Records the end of the request that was told to run. A key whose request did not run is dropped
   * and may run later: dropping it loses no knowledge, so the horizon stays.
   */
  public void complete(IdempotencyKey key, KeyedOutcome end) {
    Entry entry = entries.get(key);
    Preconditions.checkState(
        entry != null && entry.outcome.isEmpty(), "no request runs under %s", key);
    if (end instanceof KeyedOutcome.DidNotRun) {
      entries.remove(key);
      return;
    }
    KeyedOutcome kept = limits.fits(end) ? end : new KeyedOutcome.NotStored();
    entry.outcome = Optional.of(kept);
    storedBytes += entry.sizeBytes();
    completed.add(entry);
    while (storedBytes > limits.maxBytes()) {
      evict(completed.remove());
    }
  }

  /** Returns the newest issue epoch of a key that was forgotten, or a negative number. */
  public long evictionHorizonEpoch() {
    return evictionHorizonEpoch;
  }

  /** Returns the number of keys remembered. */
  public int size() {
    return entries.size();
  }

  /** Returns about how many bytes the remembered outcomes take. */
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
      long answerBytes =
          outcome
              .filter(KeyedOutcome.Stored.class::isInstance)
              .map(kept -> ((KeyedOutcome.Stored) kept).response().sizeBytes())
              .orElse(0L);
      return OVERHEAD_BYTES + key.text().length() + answerBytes;
    }
  }
}
