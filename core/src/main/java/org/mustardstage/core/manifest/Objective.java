package org.mustardstage.core.manifest;

/** The quantity that the routing of a service optimizes. */
public enum Objective {
  /** The lowest latency for callers. */
  LATENCY,
  /** The most spare capacity at each endpoint. */
  HEADROOM
}
