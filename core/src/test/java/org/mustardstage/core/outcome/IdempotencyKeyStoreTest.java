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

class IdempotencyKeyStoreTest {
  private static final VmIncarnation HOME = new VmIncarnation(new VmId("vm-a"), 1);
  private static final IdempotencyKeyStoreLimits LIMITS =
      new IdempotencyKeyStoreLimits(3, 100_000, 1_000, 10);
  private static final KeyedOutcome UNKNOWN =
      new KeyedOutcome.Unknown(UnknownOutcomeCause.ANSWER_LOST);

  private final IdempotencyKeyStore memory = new IdempotencyKeyStore(LIMITS);

  @Test
  void newKeyRuns() {
    assertClaim(KeyClaim.Run.class, key(1, "a"), 1);
  }

  @Test
  void runningKeyWaits() {
    claim(key(1, "a"), 1);

    assertClaim(KeyClaim.Wait.class, key(1, "a"), 1);
  }

  @Test
  void endedKeyIsReplayed() {
    run(key(1, "a"), UNKNOWN);

    assertThat(claim(key(1, "a"), 1), is(new KeyClaim.Replay(UNKNOWN)));
  }

  @Test
  void keyThatDidNotRunMayRun() {
    run(key(1, "a"), didNotRun());

    assertClaim(KeyClaim.Run.class, key(1, "a"), 1);
  }

  @Test
  void keyOfADifferentRequestIsReused() {
    claim(key(1, "a"), 1);

    assertThat(memory.claim(key(1, "a"), 2, 1), instanceOf(KeyClaim.Reused.class));
  }

  @Test
  void forgottenKeyNeverRuns() {
    for (String text : List.of("a", "b", "c", "d")) {
      run(key(1, text), UNKNOWN);
    }

    assertClaim(KeyClaim.Forgotten.class, key(1, "a"), 1);
    assertClaim(KeyClaim.Forgotten.class, key(1, "new-in-the-same-epoch"), 1);
    assertClaim(KeyClaim.Run.class, key(2, "new"), 2);
  }

  @Test
  void rememberedKeyIsReplayedBehindTheHorizon() {
    run(key(2, "kept"), UNKNOWN);
    for (String text : List.of("a", "b", "c")) {
      run(key(3, text), UNKNOWN);
    }
    run(key(4, "d"), UNKNOWN);

    assertThat(claim(key(3, "c"), 4), is(new KeyClaim.Replay(UNKNOWN)));
  }

  @Test
  void memoryFullOfRunningRequestsAdmitsNone() {
    for (String text : List.of("a", "b", "c")) {
      claim(key(1, text), 1);
    }

    assertClaim(KeyClaim.Full.class, key(1, "d"), 1);
  }

  @Test
  void oldKeysAreForgotten() {
    run(key(1, "a"), UNKNOWN);
    claim(key(12, "b"), 12);

    assertClaim(KeyClaim.Forgotten.class, key(1, "a"), 12);
  }

  @Test
  void largeAnswerIsNotKept() {
    run(key(1, "a"), kept(2_000));

    assertThat(claim(key(1, "a"), 1), is(new KeyClaim.Replay(new KeyedOutcome.NotStored())));
  }

  @Test
  void bytesAreBounded() {
    IdempotencyKeyStore small =
        new IdempotencyKeyStore(new IdempotencyKeyStoreLimits(1_000, 4_000, 1_000, 10));
    for (int i = 0; i < 100; i++) {
      small.claim(key(i, "k"), 1, i);
      small.complete(key(i, "k"), kept(500));
    }

    assertThat(small.storedBytes(), lessThanOrEqualTo(4_000L));
  }

  /** Against an oracle that counts runs: whatever is forgotten, no key ends twice with a run. */
  @Test
  void noKeyRunsTwice() {
    for (long seed = 0; seed < 200; seed++) {
      checkRandomRun(RandomGeneratorFactory.of("L64X128MixRandom").create(seed), seed);
    }
  }

  private static void checkRandomRun(RandomGenerator random, long seed) {
    IdempotencyKeyStore fuzzed =
        new IdempotencyKeyStore(new IdempotencyKeyStoreLimits(4, 2_000, 400, 3));
    Map<IdempotencyKey, Integer> runs = new HashMap<>();
    Map<IdempotencyKey, Boolean> running = new HashMap<>();
    long epoch = 0;
    for (int step = 0; step < 300; step++) {
      epoch += random.nextInt(8) == 0 ? 1 : 0;
      IdempotencyKey key = key(Math.max(0, epoch - random.nextInt(5)), "k" + random.nextInt(4));
      if (running.containsKey(key) && random.nextBoolean()) {
        KeyedOutcome end = randomEnd(random);
        fuzzed.complete(key, end);
        running.remove(key);
        runs.merge(key, end instanceof KeyedOutcome.DidNotRun ? 0 : 1, Integer::sum);
      } else if (fuzzed.claim(key, 1, epoch) instanceof KeyClaim.Run) {
        assertThat("seed " + seed, runs.getOrDefault(key, 0), is(0));
        assertThat("seed " + seed, running.put(key, true) == null, is(true));
      }
      assertThat("seed " + seed, fuzzed.size(), lessThanOrEqualTo(4));
    }
  }

  private static KeyedOutcome randomEnd(RandomGenerator random) {
    return switch (random.nextInt(3)) {
      case 0 -> didNotRun();
      case 1 -> kept(random.nextInt(600));
      default -> UNKNOWN;
    };
  }

  private KeyClaim claim(IdempotencyKey key, long epoch) {
    return memory.claim(key, 1, epoch);
  }

  private void run(IdempotencyKey key, KeyedOutcome end) {
    assertClaim(KeyClaim.Run.class, key, key.prefix().issueEpoch());
    memory.complete(key, end);
  }

  private void assertClaim(Class<? extends KeyClaim> expected, IdempotencyKey key, long epoch) {
    assertThat(claim(key, epoch), instanceOf(expected));
  }

  private static KeyedOutcome didNotRun() {
    return new KeyedOutcome.DidNotRun(new Outcome.NotRun(NotRunReason.ENDPOINT_REFUSED, 100));
  }

  private static KeyedOutcome kept(int bytes) {
    return new KeyedOutcome.Stored(
        new StoredResponse(200, List.of(), new StoredResponse.Body(new byte[bytes])));
  }

  private static IdempotencyKey key(long epoch, String text) {
    return new IdempotencyKey(new KeyPrefix(HOME, epoch), text);
  }
}
