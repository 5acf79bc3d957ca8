package org.mustardstage.core.drain;

/** What says that an endpoint leaves. */
public enum DrainCause {
  /** A drain of the manifest in force names it or its zone. */
  MANIFEST,
  /** The platform's VM list shows its VM as leaving. */
  VM_LIST,
  /** It says so itself, in an answer or a load report. */
  OWN_REPORT
}
