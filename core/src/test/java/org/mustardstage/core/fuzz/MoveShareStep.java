package org.mustardstage.core.fuzz;

/** A step that may happen to a planned move on several VMs, which are identified by index. */
sealed interface MoveShareStep {
  /** First attempts arrive. */
  record FirstAttempts(int vm, int count) implements MoveShareStep {}

  /** Attempts are retried or hedged. */
  record RetriesOrHedges(int vm, int count) implements MoveShareStep {}

  /** The share to move changes. */
  record SetShare(int vm, int percent) implements MoveShareStep {}

  /** A VM is replaced by another, which starts with a new limiter. */
  record ReplaceVm(int vm) implements MoveShareStep {}
}
