package org.mustardstage.core.overload;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;

/**
 * Selects the priority level that departs next, by strict priority with a guaranteed minimum share:
 * a lower level that has earned a full credit goes first, so that it is not starved.
 */
final class PriorityScheduler {
  private final ImmutableList<PriorityLevelQueue> highestPriorityFirst;
  private final ImmutableList<PriorityLevelQueue> lowestPriorityFirst;

  /** Creates a scheduler of {@code levels}, which are given highest priority first. */
  PriorityScheduler(List<PriorityLevelQueue> levels) {
    this.highestPriorityFirst = ImmutableList.copyOf(levels);
    this.lowestPriorityFirst = this.highestPriorityFirst.reverse();
  }

  /** Returns the level that departs next, or nothing when all are empty. */
  Optional<PriorityLevelQueue> selectNext() {
    for (PriorityLevelQueue level : lowestPriorityFirst) {
      if (level.hasCreditForRequest()) {
        return Optional.of(level);
      }
    }
    for (PriorityLevelQueue level : highestPriorityFirst) {
      if (!level.isEmpty()) {
        return Optional.of(level);
      }
    }
    return Optional.empty();
  }

  /** Charges {@code chosen} for a departure and credits all other levels. */
  void recordDeparture(PriorityLevelQueue chosen) {
    for (PriorityLevelQueue level : highestPriorityFirst) {
      if (level == chosen) {
        level.spendCredit();
      } else {
        level.addCredit();
      }
    }
  }
}
