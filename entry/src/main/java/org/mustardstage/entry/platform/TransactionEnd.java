package org.mustardstage.entry.platform;

/** How a transaction ended. */
public sealed interface TransactionEnd {
  /** All writes took effect. */
  record Committed() implements TransactionEnd {}

  /** A condition did not hold; nothing was written. */
  record ConditionFailed() implements TransactionEnd {}

  /** The table service did not take the transaction; nothing was written. */
  record Unavailable(PlatformFailure failure) implements TransactionEnd {}

  /** No answer came: the writes took effect or not. */
  record OutcomeUnknown(PlatformFailure failure) implements TransactionEnd {}
}
