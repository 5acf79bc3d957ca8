package org.mustardstage.entry.traffic;

/** What became of a probe of a connection. */
enum ProbeResult {
  /** The endpoint answered. */
  ANSWERED,
  /** The connection was closed or could not be made. */
  CLOSED,
  /** No answer came in time on an open connection. */
  SILENT
}
