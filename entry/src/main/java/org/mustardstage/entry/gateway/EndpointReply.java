package org.mustardstage.entry.gateway;

/**
 * A whole answer of an endpoint.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the whole body, not to be changed
 */
@SuppressWarnings("ArrayRecordComponent")
record EndpointReply(int status, HeaderList headers, byte[] body) {
  private static final int FIRST_SUCCESS = 200;
  private static final int AFTER_SUCCESS = 300;

  boolean isSuccess() {
    return status >= FIRST_SUCCESS && status < AFTER_SUCCESS;
  }
}
