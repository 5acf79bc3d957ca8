package org.mustardstage.core.drain;

/** The source that reports an endpoint as draining. */
public enum DrainCause {
  /** A drain of the active manifest names the endpoint or its zone. */
  MANIFEST,
  /** The platform's VM list shows the endpoint's VM as leaving. */
  VM_LIST,
  /** The endpoint itself reports it, in a response or a load report. */
  OWN_REPORT
}
