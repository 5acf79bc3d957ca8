package org.mustardstage.core.fuzz;

/** What may happen to a planned move on several VMs, named by their index. */
sealed interface ShareStep {
  /** First attempts arrive. */
  record First(int vm, int count) implements ShareStep {}

  /** Attempts are retried or hedged. */
  record Further(int vm, int count) implements ShareStep {}

  /** The move goes to another step. */
  record Share(int vm, int percent) implements ShareStep {}

  /** A VM is replaced by another. */
  record Restart(int vm) implements ShareStep {}
}
