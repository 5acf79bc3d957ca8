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
public final class KeyMemory {
  private static final long NOTHING_FORGOTTEN = -1;

  private final KeyMemoryLimits limits;
  private final Map<IdempotencyKey, Entry> entries = new HashMap<>();
  private final PriorityQueue<Entry> ended = new PriorityQueue<>(Entry.OLDEST_ISSUE_FIRST);
  private long keptBytes;
  private long forgetHorizonEpoch = NOTHING_FORGOTTEN;

  /** Creates an empty memory. */
  public KeyMemory(KeyMemoryLimits limits) {
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
      return claimKnown(entry, requestDigest);
    }
    forgetOlderThan(currentEpoch - limits.maxAgeEpochs());
    if (key.prefix().issueEpoch() <= forgetHorizonEpoch) {
      return new KeyClaim.Forgotten();
    }
    if (!makeRoom()) {
      return new KeyClaim.Full();
    }
    entries.put(key, new Entry(key, requestDigest));
    return new KeyClaim.Run();
  }

  /**
   * Records the end of the request that was told to run. A key whose request did not run is dropped
   * and may run later: dropping it loses no knowledge, so the horizon stays.
   */
  public void finish(IdempotencyKey key, KeyedEnd end) {
    Entry entry = entries.get(key);
    Preconditions.checkState(entry != null && entry.end.isEmpty(), "no request runs under %s", key);
    if (end instanceof KeyedEnd.DidNotRun) {
      entries.remove(key);
      return;
    }
    KeyedEnd kept = limits.keeps(end) ? end : new KeyedEnd.NotKept();
    entry.end = Optional.of(kept);
    keptBytes += entry.sizeBytes();
    ended.add(entry);
    while (keptBytes > limits.maxBytes()) {
      forget(ended.remove());
    }
  }

  /** Returns the newest issue epoch of a key that was forgotten, or a negative number. */
  public long forgetHorizonEpoch() {
    return forgetHorizonEpoch;
  }

  /** Returns the number of keys remembered. */
  public int size() {
    return entries.size();
  }

  /** Returns about how many bytes the remembered outcomes take. */
  public long keptBytes() {
    return keptBytes;
  }

  private KeyClaim claimKnown(Entry entry, long requestDigest) {
    if (entry.requestDigest != requestDigest) {
      return new KeyClaim.Reused();
    }
    if (entry.end.isEmpty()) {
      return new KeyClaim.Wait();
    }
    return new KeyClaim.Replay(entry.end.get());
  }

  private boolean makeRoom() {
    if (entries.size() < limits.maxEntries()) {
      return true;
    }
    if (ended.isEmpty()) {
      return false;
    }
    forget(ended.remove());
    return true;
  }

  private void forgetOlderThan(long epoch) {
    while (!ended.isEmpty() && ended.peek().issueEpoch() < epoch) {
      forget(ended.remove());
    }
  }

  private void forget(Entry entry) {
    entries.remove(entry.key);
    keptBytes -= entry.sizeBytes();
    forgetHorizonEpoch = Math.max(forgetHorizonEpoch, entry.issueEpoch());
  }

  private static final class Entry {
    static final Comparator<Entry> OLDEST_ISSUE_FIRST = Comparator.comparingLong(Entry::issueEpoch);
    private static final int OVERHEAD_BYTES = 256;

    final IdempotencyKey key;
    final long requestDigest;
    Optional<KeyedEnd> end = Optional.empty();

    Entry(IdempotencyKey key, long requestDigest) {
      this.key = key;
      this.requestDigest = requestDigest;
    }

    long issueEpoch() {
      return key.prefix().issueEpoch();
    }

    long sizeBytes() {
      long answerBytes =
          end.filter(KeyedEnd.Kept.class::isInstance)
              .map(kept -> ((KeyedEnd.Kept) kept).answer().sizeBytes())
              .orElse(0L);
      return OVERHEAD_BYTES + key.text().length() + answerBytes;
    }
  }
}
