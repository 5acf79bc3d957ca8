package org.mustardstage.entry.gateway;

/** Why a link gave no answer. */
enum ConnectionFailure {
  /** No connection was made; nothing was sent. */
  CONNECT_FAILED,
  /** The link ended after a part of the request may have been sent. */
  CONNECTION_LOST,
  /** The link had rested and was reset by the first request after that, before any answer. */
  RESET_AFTER_IDLE,
  /** The bytes that came are no answer. */
  MALFORMED
}
