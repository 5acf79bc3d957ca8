package org.mustardstage.standins.bench.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.permit.AcquireRequest;
import org.mustardstage.core.permit.Limit;
import org.mustardstage.core.permit.LimitId;
import org.mustardstage.core.permit.OwnershipList;
import org.mustardstage.core.permit.PermitAction;
import org.mustardstage.core.permit.PermitAgent;
import org.mustardstage.core.permit.PermitSettings;
import org.mustardstage.core.permit.ProposalResult;

/** Measures how long it takes to acquire and release a permit that the VM owns and has idle. */
final class AcquireBenchmark {
  private static final int ROUNDS = 2_000_000;
  private static final int CANDIDATES = 12;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private AcquireBenchmark() {}

  /** Returns the nanoseconds of one acquire and release with {@code limitCount} limits known. */
  static double nanosPerAcquire(int limitCount) {
    PermitAgent agent = createOwnerOfAllPermits(limitCount);
    List<LimitId> candidates = new ArrayList<>();
    for (int index = 0; index < CANDIDATES; index++) {
      candidates.add(limitId(index));
    }
    measure(agent, candidates);
    return measure(agent, candidates);
  }

  private static LimitId limitId(int index) {
    return LimitId.slotsOf(new EndpointId("endpoint-" + index));
  }

  private static PermitAgent createOwnerOfAllPermits(int limitCount) {
    VmIncarnation self = new VmIncarnation(new VmId("entry-0"), 1);
    PermitAgent agent =
        new PermitAgent(
            PermitSettings.defaults(), self, PermitPolicy.ZONE, new SplittableRandom(1));
    List<Limit> limits = new ArrayList<>();
    for (int index = 0; index < limitCount; index++) {
      limits.add(new Limit(limitId(index), PermitPolicy.ZONE, 9));
    }
    agent.updateLimits(1, 1, limits);
    agent.updateOwnership(1, OwnershipList.absent(PermitPolicy.ZONE));
    for (PermitAction action : agent.runDueTasks(2)) {
      if (action instanceof PermitAction.ProposeOwnership propose) {
        agent.handleProposalResult(3, propose.proposal(), ProposalResult.COMMITTED);
        agent.updateOwnership(
            4, new OwnershipList(PermitPolicy.ZONE, 1, propose.proposal().owners()));
      }
    }
    return agent;
  }

  private static double measure(PermitAgent agent, List<LimitId> candidates) {
    long granted = 0;
    long startNanos = System.nanoTime();
    for (int round = 0; round < ROUNDS; round++) {
      List<PermitAction> actions =
          agent.acquire(
              5, new AcquireRequest(round, candidates, NANOS_PER_SECOND, NANOS_PER_SECOND));
      granted += actions.getFirst() instanceof PermitAction.Granted ? 1 : 0;
      agent.release(5, round, true);
    }
    long elapsedNanos = System.nanoTime() - startNanos;
    if (granted != ROUNDS) {
      throw new IllegalStateException("permits granted: " + granted + ", expected: " + ROUNDS);
    }
    return elapsedNanos / (double) ROUNDS;
  }
}
