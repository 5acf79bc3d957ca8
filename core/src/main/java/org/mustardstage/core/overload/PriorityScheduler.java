package org.mustardstage.core.overload;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the lane that is served next: the most important one that waits, but for a small share of
 * turns that each less important one saves up while it waits.
 */
final class PriorityScheduler {
  private final ImmutableList<PriorityLevelQueue> highestPriorityFirst;
  private final ImmutableList<PriorityLevelQueue> lowestPriorityFirst;

  /** Creates a choice among {@code lanes}, the most important one first. */
  PriorityScheduler(List<PriorityLevelQueue> lanes) {
    this.highestPriorityFirst = ImmutableList.copyOf(lanes);
    this.lowestPriorityFirst = this.highestPriorityFirst.reverse();
  }

  /** Returns the lane that is served next, or nothing when all are empty. */
  Optional<PriorityLevelQueue> selectNext() {
    for (PriorityLevelQueue lane : lowestPriorityFirst) {
      if (lane.hasCreditForRequest()) {
        return Optional.of(lane);
      }
    }
    for (PriorityLevelQueue lane : highestPriorityFirst) {
      if (!lane.isEmpty()) {
        return Optional.of(lane);
      }
    }
    return Optional.empty();
  }

  /** Notes that a request of {@code chosen} departs. */
  void recordDeparture(PriorityLevelQueue chosen) {
    for (PriorityLevelQueue lane : highestPriorityFirst) {
      if (lane == chosen) {
        lane.spendCredit();
      } else {
        lane.addCredit();
      }
    }
  }
}
