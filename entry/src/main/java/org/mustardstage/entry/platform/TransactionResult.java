package org.mustardstage.entry.platform;

/** How a transaction ended. */
public sealed interface TransactionResult {
  /** All writes took effect. */
  record Committed() implements TransactionResult {}

  /** A condition did not hold; nothing was written. */
  record ConditionFailed() implements TransactionResult {}

  /** The table service did not take the transaction; nothing was written. */
  record Unavailable(PlatformFailure failure) implements TransactionResult {}

  /** No answer came: the writes took effect or not. */
  record OutcomeUnknown(PlatformFailure failure) implements TransactionResult {}
}
