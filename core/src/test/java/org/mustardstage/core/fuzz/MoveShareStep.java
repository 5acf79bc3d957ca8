package org.mustardstage.core.fuzz;

/** What may happen to a planned move on several VMs, named by their index. */
sealed interface MoveShareStep {
  /** First attempts arrive. */
  record FirstAttempts(int vm, int count) implements MoveShareStep {}

  /** Attempts are retried or hedged. */
  record RetriesOrHedges(int vm, int count) implements MoveShareStep {}

  /** The move goes to another step. */
  record SetShare(int vm, int percent) implements MoveShareStep {}

  /** A VM is replaced by another. */
  record ReplaceVm(int vm) implements MoveShareStep {}
}
