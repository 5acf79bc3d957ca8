package org.mustardstage.core.shift;

import org.mustardstage.core.id.MoveId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;

/** Why the moves of a manifest are refused. */
public sealed interface MoveProblem {
  /** Two moves have the same name. */
  record DuplicateId(MoveId move) implements MoveProblem {}

  /** The move names a service that the manifest does not have. */
  record UnknownService(MoveId move, ServiceName service) implements MoveProblem {}

  /** The service has no endpoint in a region of the move that stays after the drains. */
  record NoEndpoints(MoveId move, RegionId region) implements MoveProblem {}

  /** Both moves have the same service and regions. */
  record SameMove(MoveId first, MoveId second) implements MoveProblem {}

  /** One move takes traffic out of the region into which the other moves it. */
  record Chained(MoveId first, MoveId second) implements MoveProblem {}

  /** The moves out of a region together exceed its traffic. */
  record MoreThanWhole(ServiceName service, RegionId from, double shareSum)
      implements MoveProblem {}

  /** The receiving region has fewer slots than the traffic moved into it may use. */
  record ReceiverTooSmall(ServiceName service, RegionId to, int slots, double slotsMoved)
      implements MoveProblem {}

  /** The limit of the receiving region lets nothing in. */
  record ReceiverClosed(MoveId move, RegionId to) implements MoveProblem {}
}
