package org.mustardstage.core.fuzz;

/**
 * A step that may happen to a cluster of VMs with permits. VMs and limits are identified by index.
 */
sealed interface PermitStep {
  /** Time passes while requests arrive at all VMs. */
  record SendLoad(int millis, int maxGapMillis, int lostResponsePercent, int deadlineMillis)
      implements PermitStep {}

  /** A process crashes. */
  record Crash(int vm) implements PermitStep {}

  /** A process crashes and starts as another incarnation. */
  record Restart(int vm) implements PermitStep {}

  /** A process is paused. */
  record Pause(int vm, int millis) implements PermitStep {}

  /** A VM is isolated from all others; the VM list may drop it although it runs. */
  record Isolate(int vm, boolean isDelisted) implements PermitStep {}

  /** A VM moves to the other side of a partition; both sides still reach the platform. */
  record Partition(int vm) implements PermitStep {}

  /** A VM is reconnected to all others. */
  record Reconnect(int vm) implements PermitStep {}

  /** The store becomes unavailable or available. */
  record SetStoreDown(boolean isDown) implements PermitStep {}

  /** A fraction of the responses of the store is lost. */
  record LoseStoreResponses(int percent) implements PermitStep {}

  /** Messages are lost, duplicated, delayed and thereby reordered. */
  record MessageFaults(int lossPercent, int duplicatePercent, int delayMillis)
      implements PermitStep {}

  /** A VM starts its graceful stop. */
  record Stop(int vm) implements PermitStep {}

  /** A new manifest changes the number of permits of a limit. */
  record ResizeLimit(int limit, int permits) implements PermitStep {}
}
