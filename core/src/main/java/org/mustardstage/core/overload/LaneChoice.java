package org.mustardstage.core.overload;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the lane that is served next: the most important one that waits, but for a small share of
 * turns that each less important one saves up while it waits.
 */
final class LaneChoice {
  private final ImmutableList<Lane> lanes;
  private final ImmutableList<Lane> leastImportantFirst;

  /** Creates a choice among {@code lanes}, the most important one first. */
  LaneChoice(List<Lane> lanes) {
    this.lanes = ImmutableList.copyOf(lanes);
    this.leastImportantFirst = this.lanes.reverse();
  }

  /** Returns the lane that is served next, or nothing when all are empty. */
  Optional<Lane> choose() {
    for (Lane lane : leastImportantFirst) {
      if (lane.hasSavedTurn()) {
        return Optional.of(lane);
      }
    }
    for (Lane lane : lanes) {
      if (!lane.isEmpty()) {
        return Optional.of(lane);
      }
    }
    return Optional.empty();
  }

  /** Notes that a request of {@code chosen} departs. */
  void recordTurn(Lane chosen) {
    for (Lane lane : lanes) {
      if (lane == chosen) {
        lane.useTurn();
      } else {
        lane.saveTurn();
      }
    }
  }
}
