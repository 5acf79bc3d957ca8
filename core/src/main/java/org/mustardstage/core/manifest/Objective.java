package org.mustardstage.core.manifest;

/** What the routing of a service prefers. */
public enum Objective {
  /** The least latency for callers. */
  LATENCY,
  /** The most spare capacity at each endpoint. */
  HEADROOM
}
