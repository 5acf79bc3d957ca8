package org.mustardstage.entry.gateway;

/**
 * A complete response of an endpoint.
 *
 * @param status the HTTP status
 * @param headers the headers, in their order
 * @param body the complete body; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
record EndpointResponse(int status, HeaderList headers, byte[] body) {
  private static final int MIN_SUCCESS_STATUS = 200;
  private static final int MIN_REDIRECT_STATUS = 300;

  boolean isSuccess() {
    return status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS;
  }
}
