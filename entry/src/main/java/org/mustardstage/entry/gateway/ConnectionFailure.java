package org.mustardstage.entry.gateway;

/** Why an attempt on a connection brought no response. */
enum ConnectionFailure {
  /** The connection was refused or reset before it was open; nothing was sent. */
  CONNECT_REFUSED,
  /** Nothing responded to the attempt to open the connection in time; nothing was sent. */
  CONNECT_TIMED_OUT,
  /** The connection ended after a part of the request may have been sent. */
  CONNECTION_LOST,
  /** The connection was reset by its first request after an idle period, before any response. */
  RESET_AFTER_IDLE,
  /** The bytes received are not a valid HTTP response. */
  MALFORMED
}
