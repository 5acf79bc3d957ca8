package org.mustardstage.core.permit;

import java.util.ArrayList;
import java.util.List;
import org.mustardstage.core.id.VmIncarnation;

/** Collects the actions that one event causes. */
final class ActionBuffer {
  private List<PermitAction> actions = new ArrayList<>();
  private long messagesSent;

  void send(VmIncarnation to, PermitMessage message) {
    messagesSent++;
    actions.add(new PermitAction.SendMessage(to, message));
  }

  void add(PermitAction action) {
    actions.add(action);
  }

  /** Removes and returns the collected actions. */
  List<PermitAction> drain() {
    if (actions.isEmpty()) {
      return List.of();
    }
    List<PermitAction> drained = actions;
    actions = new ArrayList<>();
    return drained;
  }

  long messagesSent() {
    return messagesSent;
  }
}
