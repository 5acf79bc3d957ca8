package org.mustardstage.core.shift;

import org.mustardstage.core.id.MoveId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;

/** A reason to reject the moves of a manifest. */
public sealed interface MoveProblem {
  /** Two moves have the same name. */
  record DuplicateId(MoveId move) implements MoveProblem {}

  /** The move names a service that the manifest does not declare. */
  record UnknownService(MoveId move, ServiceName service) implements MoveProblem {}

  /**
   * The service has no endpoint in a region of the move, or none in the receiving region that is
   * not drained.
   */
  record NoEndpoints(MoveId move, RegionId region) implements MoveProblem {}

  /** Both moves have the same service and regions. */
  record SameMove(MoveId first, MoveId second) implements MoveProblem {}

  /** One move takes traffic from the region into which the other moves it. */
  record Chained(MoveId first, MoveId second) implements MoveProblem {}

  /** The moves out of a region add up to more than its traffic. */
  record MoreThanWhole(ServiceName service, RegionId from, double shareSum)
      implements MoveProblem {}

  /** The receiving region has fewer slots than the moved traffic may use. */
  record ReceiverTooSmall(ServiceName service, RegionId to, int slots, double slotsMoved)
      implements MoveProblem {}

  /** The limit of the receiving region allows no requests. */
  record ReceiverClosed(MoveId move, RegionId to) implements MoveProblem {}
}
