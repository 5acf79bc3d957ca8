package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against VMs that start and send a request again that ends each endpoint. */
class BlockKnowledgeTest {
  private static final long START_NANOS = Long.MAX_VALUE - 1_000_000;

  private static long after(long millis) {
    return START_NANOS + Duration.ofMillis(millis).toNanos();
  }

  @Test
  void vmWithoutPeersKnowsAllBlocksAtOnce() {
    assertThat(new BlockKnowledge(START_NANOS, false).isComplete(START_NANOS), is(true));
  }

  @Test
  void vmWaitsForTheBlocksOfTheFirstPeer() {
    BlockKnowledge knowledge = new BlockKnowledge(START_NANOS, true);
    assertThat(knowledge.isComplete(after(500)), is(false));

    knowledge.recordPeer(after(500));
    knowledge.recordPeer(after(700));

    assertThat(knowledge.isComplete(after(749)), is(false));
    assertThat(knowledge.isComplete(after(750)), is(true));
  }

  @Test
  void vmThatMeetsNobodyWaitsForALimitedTime() {
    BlockKnowledge knowledge = new BlockKnowledge(START_NANOS, true);

    assertThat(knowledge.isComplete(after(1_999)), is(false));
    knowledge.recordPeer(after(1_999));
    assertThat(knowledge.isComplete(after(2_000)), is(true));
  }
}
