package org.mustardstage.core.fuzz;

/** What may happen to a cluster of VMs with permits. VMs and limits are named by their index. */
sealed interface PermitStep {
  /** Time passes while requests arrive at all VMs. */
  record SendLoad(int millis, int maxGapMillis, int lostResponsePercent, int deadlineMillis)
      implements PermitStep {}

  /** A process ends at once. */
  record Crash(int vm) implements PermitStep {}

  /** A process ends and another incarnation starts. */
  record Restart(int vm) implements PermitStep {}

  /** A process stands still. */
  record Pause(int vm, int millis) implements PermitStep {}

  /** A VM reaches nobody; the VM list may drop it although it lives. */
  record Isolate(int vm, boolean isDelisted) implements PermitStep {}

  /** A VM comes to the other side of a partition; both sides reach the platform. */
  record Partition(int vm) implements PermitStep {}

  /** A VM is connected again. */
  record Reconnect(int vm) implements PermitStep {}

  /** The store goes down or comes back. */
  record SetStoreDown(boolean isDown) implements PermitStep {}

  /** Some answers of the store are lost. */
  record LoseStoreResponses(int percent) implements PermitStep {}

  /** Messages are lost, doubled, delayed and so reordered. */
  record MessageFaults(int lossPercent, int duplicatePercent, int delayMillis)
      implements PermitStep {}

  /** A VM starts its graceful stop. */
  record Stop(int vm) implements PermitStep {}

  /** A manifest changes the permits of a limit. */
  record ResizeLimit(int limit, int permits) implements PermitStep {}
}
