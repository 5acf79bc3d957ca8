package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableSet;

/**
 * A complete response of an endpoint.
 *
 * @param status the HTTP status
 * @param headers the headers, in their order
 * @param body the complete body; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
record EndpointResponse(int status, HeaderList headers, byte[] body) {
  private static final int STATUS_MISDIRECTED = 421;
  private static final int MIN_SUCCESS_STATUS = 200;
  private static final int MIN_REDIRECT_STATUS = 300;

  /** The statuses by which callers are told that a request has not run. */
  private static final ImmutableSet<Integer> NOT_RUN_STATUSES = ImmutableSet.of(408, 421, 429, 503);

  /** Returns whether a caller would take the status as a promise that the request has not run. */
  boolean promisesNotRun() {
    return NOT_RUN_STATUSES.contains(status);
  }

  /** Returns whether the address belongs to another endpoint than the expected one. */
  boolean isMisdirected() {
    return status == STATUS_MISDIRECTED;
  }

  boolean isSuccess() {
    return status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS;
  }
}
