package org.mustardstage.entry.gateway;

import java.util.function.Consumer;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.placement.AttemptResult;
import org.mustardstage.core.placement.PlacementDecision;

/** Decides where requests run. Used on one traffic thread. */
interface Placer {
  /** A request that waits for a decision. */
  interface Ticket {
    /** Takes the request back: its caller has left. */
    void withdraw();
  }

  /** Asks where a request may run. The answer may come before this returns, or later. */
  Ticket place(PlaceRequest request, Consumer<PlacementDecision> onDecision);

  /** Ends the use of an endpoint. */
  void release(ServiceName service, PlacementDecision.Placed placed, AttemptResult end);
}
