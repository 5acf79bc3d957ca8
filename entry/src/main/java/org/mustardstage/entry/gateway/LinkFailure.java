package org.mustardstage.entry.gateway;

/** Why a link gave no answer. */
enum LinkFailure {
  /** No connection was made; nothing was sent. */
  NOT_CONNECTED,
  /** The link ended after a part of the request may have been sent. */
  BROKEN,
  /** The link had rested and was reset by the first request after that, before any answer. */
  FORGOTTEN,
  /** The bytes that came are no answer. */
  MALFORMED
}
