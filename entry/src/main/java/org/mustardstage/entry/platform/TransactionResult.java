package org.mustardstage.entry.platform;

/** The result of a transaction. */
public sealed interface TransactionResult {
  /** All writes took effect. */
  record Committed() implements TransactionResult {}

  /** A condition did not hold; nothing was written. */
  record ConditionFailed() implements TransactionResult {}

  /** The table service could not be reached or rejected the transaction; nothing was written. */
  record Unavailable(PlatformFailure failure) implements TransactionResult {}

  /** No usable response arrived, so the writes may have taken effect or not. */
  record OutcomeUnknown(PlatformFailure failure) implements TransactionResult {}
}
