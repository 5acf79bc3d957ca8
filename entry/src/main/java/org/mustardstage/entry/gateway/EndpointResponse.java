package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.mustardstage.core.http.HeaderList;
import org.mustardstage.core.http.ResponseHead;
import org.mustardstage.core.http.ResponseParser;

/**
 * A response of an endpoint: complete, or one whose body is still arriving.
 *
 * @param status the HTTP status
 * @param headers the headers, in their order
 * @param body the complete body, empty if it is streamed; must not be modified
 * @param stream the body, if it is streamed to the caller
 */
@SuppressWarnings("ArrayRecordComponent")
record EndpointResponse(
    int status, HeaderList headers, byte[] body, Optional<StreamedBody> stream) {
  private static final int STATUS_MISDIRECTED = 421;
  private static final int MIN_SUCCESS_STATUS = 200;
  private static final int MIN_REDIRECT_STATUS = 300;

  /** The statuses by which callers are told that a request has not run. */
  private static final ImmutableSet<Integer> NOT_RUN_STATUSES = ImmutableSet.of(408, 421, 429, 503);

  /** Creates a complete response. */
  EndpointResponse(int status, HeaderList headers, byte[] body) {
    this(status, headers, body, Optional.empty());
  }

  /** Creates a response from what the endpoint sent. */
  static EndpointResponse of(ResponseParser.Response response) {
    return new EndpointResponse(
        response.head().status(), response.head().headers(), response.body());
  }

  /** Creates a response of which only the head has arrived. */
  static EndpointResponse withoutBody(ResponseHead head) {
    return new EndpointResponse(head.status(), head.headers(), new byte[0]);
  }

  /** Returns the response with its body in {@code newStream}. */
  EndpointResponse withStream(StreamedBody newStream) {
    return new EndpointResponse(status, headers, new byte[0], Optional.of(newStream));
  }

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
