package org.mustardstage.entry.traffic;

/** The result of probing a connection. */
enum ProbeResult {
  /** The endpoint responded. */
  ANSWERED,
  /** The connection was closed or could not be opened. */
  CLOSED,
  /** No response arrived in time on an open connection. */
  SILENT
}
