package org.mustardstage.core.outcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;

/**
 * Guards against a request that runs twice under one idempotency key, in particular after the key
 * was evicted to bound the store.
 */
class IdempotencyKeyStoreTest {
  private static final VmIncarnation HOME = new VmIncarnation(new VmId("vm-a"), 1);
  private static final IdempotencyKeyStoreLimits LIMITS =
      new IdempotencyKeyStoreLimits(3, 100_000, 1_000, 10);
  private static final KeyedOutcome UNKNOWN =
      new KeyedOutcome.Unknown(UnknownOutcomeCause.ANSWER_LOST);

  private final IdempotencyKeyStore store = new IdempotencyKeyStore(LIMITS);

  @Test
  void newKeyMayRun() {
    assertClaim(KeyClaim.Run.class, key(1, "a"), 1);
  }

  @Test
  void keyOfARunningRequestWaits() {
    claim(key(1, "a"), 1);

    assertClaim(KeyClaim.Wait.class, key(1, "a"), 1);
  }

  @Test
  void outcomeIsReplayed() {
    claimAndComplete(key(1, "a"), UNKNOWN);

    assertThat(claim(key(1, "a"), 1), is(new KeyClaim.Replay(UNKNOWN)));
  }

  @Test
  void keyWhoseRequestDidNotRunMayRun() {
    claimAndComplete(key(1, "a"), didNotRun());

    assertClaim(KeyClaim.Run.class, key(1, "a"), 1);
  }

  @Test
  void keyReusedForADifferentRequestIsReported() {
    claim(key(1, "a"), 1);

    assertThat(store.claim(key(1, "a"), 2, 1), instanceOf(KeyClaim.Reused.class));
  }

  @Test
  void evictedKeyNeverRuns() {
    for (String text : List.of("a", "b", "c", "d")) {
      claimAndComplete(key(1, text), UNKNOWN);
    }

    assertClaim(KeyClaim.Forgotten.class, key(1, "a"), 1);
    assertClaim(KeyClaim.Forgotten.class, key(1, "new-in-the-same-epoch"), 1);
    assertClaim(KeyClaim.Run.class, key(2, "new"), 2);
  }

  @Test
  void storedKeyIsReplayedBehindTheEvictionHorizon() {
    claimAndComplete(key(2, "kept"), UNKNOWN);
    for (String text : List.of("a", "b", "c")) {
      claimAndComplete(key(3, text), UNKNOWN);
    }
    claimAndComplete(key(4, "d"), UNKNOWN);

    assertThat(claim(key(3, "c"), 4), is(new KeyClaim.Replay(UNKNOWN)));
  }

  @Test
  void storeFullOfRunningRequestsAdmitsNone() {
    for (String text : List.of("a", "b", "c")) {
      claim(key(1, text), 1);
    }

    assertClaim(KeyClaim.Full.class, key(1, "d"), 1);
  }

  @Test
  void oldKeysAreEvicted() {
    claimAndComplete(key(1, "a"), UNKNOWN);
    claim(key(12, "b"), 12);

    assertClaim(KeyClaim.Forgotten.class, key(1, "a"), 12);
  }

  @Test
  void largeResponseIsNotStored() {
    claimAndComplete(key(1, "a"), storedResponse(2_000));

    assertThat(claim(key(1, "a"), 1), is(new KeyClaim.Replay(new KeyedOutcome.NotStored())));
  }

  @Test
  void bytesAreBounded() {
    IdempotencyKeyStore boundedStore =
        new IdempotencyKeyStore(new IdempotencyKeyStoreLimits(1_000, 4_000, 1_000, 10));
    for (int i = 0; i < 100; i++) {
      boundedStore.claim(key(i, "k"), 1, i);
      boundedStore.complete(key(i, "k"), storedResponse(500));
    }

    assertThat(boundedStore.storedBytes(), lessThanOrEqualTo(4_000L));
  }

  /**
   * Compares random operations with a model that counts the runs of each key: whatever is evicted,
   * no key runs again after a request with it may have run.
   */
  @Test
  void noKeyRunsTwice() {
    for (long seed = 0; seed < 200; seed++) {
      checkRandomRun(RandomGeneratorFactory.of("L64X128MixRandom").create(seed), seed);
    }
  }

  private static void checkRandomRun(RandomGenerator random, long seed) {
    IdempotencyKeyStore fuzzedStore =
        new IdempotencyKeyStore(new IdempotencyKeyStoreLimits(4, 2_000, 400, 3));
    Map<IdempotencyKey, Integer> runs = new HashMap<>();
    Map<IdempotencyKey, Boolean> running = new HashMap<>();
    long epoch = 0;
    for (int step = 0; step < 300; step++) {
      epoch += random.nextInt(8) == 0 ? 1 : 0;
      IdempotencyKey key = key(Math.max(0, epoch - random.nextInt(5)), "k" + random.nextInt(4));
      if (running.containsKey(key) && random.nextBoolean()) {
        KeyedOutcome outcome = randomOutcome(random);
        fuzzedStore.complete(key, outcome);
        running.remove(key);
        runs.merge(key, outcome instanceof KeyedOutcome.DidNotRun ? 0 : 1, Integer::sum);
      } else if (fuzzedStore.claim(key, 1, epoch) instanceof KeyClaim.Run) {
        assertThat("seed " + seed, runs.getOrDefault(key, 0), is(0));
        assertThat("seed " + seed, running.put(key, true) == null, is(true));
      }
      assertThat("seed " + seed, fuzzedStore.size(), lessThanOrEqualTo(4));
    }
  }

  private static KeyedOutcome randomOutcome(RandomGenerator random) {
    return switch (random.nextInt(3)) {
      case 0 -> didNotRun();
      case 1 -> storedResponse(random.nextInt(600));
      default -> UNKNOWN;
    };
  }

  private KeyClaim claim(IdempotencyKey key, long epoch) {
    return store.claim(key, 1, epoch);
  }

  private void claimAndComplete(IdempotencyKey key, KeyedOutcome outcome) {
    assertClaim(KeyClaim.Run.class, key, key.prefix().issueEpoch());
    store.complete(key, outcome);
  }

  private void assertClaim(Class<? extends KeyClaim> expected, IdempotencyKey key, long epoch) {
    assertThat(claim(key, epoch), instanceOf(expected));
  }

  private static KeyedOutcome didNotRun() {
    return new KeyedOutcome.DidNotRun(new Outcome.NotRun(NotRunReason.ENDPOINT_REFUSED, 100));
  }

  private static KeyedOutcome storedResponse(int bytes) {
    return new KeyedOutcome.Stored(
        new StoredResponse(200, List.of(), new StoredResponse.Body(new byte[bytes])));
  }

  private static IdempotencyKey key(long epoch, String text) {
    return new IdempotencyKey(new KeyPrefix(HOME, epoch), text);
  }
}
