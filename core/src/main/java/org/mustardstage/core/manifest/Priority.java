package org.mustardstage.core.manifest;

/** The order in which calls are served under overload, most important first. */
public enum Priority {
  /** Work that must not run twice, such as a booking or a top-up. */
  NON_IDEMPOTENT,
  /** A read that a person waits for. */
  INTERACTIVE,
  /** Work that may be delayed but must still be done. */
  BATCH
}
