package org.mustardstage.entry.gateway;

/**
 * Checks that a response was produced by an endpoint for one request.
 *
 * @param headerNames the headers that endpoints use
 * @param requestId the id of the request
 */
record ResponseIntegrity(HeaderNames headerNames, String requestId) {
  /** Returns whether the response states credibly that the endpoint did not run the request. */
  boolean provesNotRun(EndpointResponse response) {
    return (response.headers().has(headerNames.notExecuted()) || response.isMisdirected())
        && echoesRequestId(response);
  }

  /**
   * Returns whether the response was produced by the endpoint for this request and not altered on
   * the way: it echoes the request's id and has no content encoding, and a success has the
   * endpoint's seal. A status that promises that the request has not run needs the header that says
   * so.
   */
  boolean isIntact(EndpointResponse response) {
    if (response.headers().has("Content-Encoding")
        || !echoesRequestId(response)
        || response.promisesNotRun()) {
      return false;
    }
    return !response.isSuccess() || response.headers().has(headerNames.endpointSeal());
  }

  /** Returns whether the endpoint that the request was sent to has responded to it. */
  boolean isOfExpectedEndpoint(EndpointResponse response) {
    return echoesRequestId(response) && !response.isMisdirected();
  }

  private boolean echoesRequestId(EndpointResponse response) {
    return response.headers().find(headerNames.requestId()).filter(requestId::equals).isPresent();
  }
}
