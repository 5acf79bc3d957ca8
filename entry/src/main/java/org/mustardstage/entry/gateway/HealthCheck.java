package org.mustardstage.entry.gateway;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.mustardstage.core.gateway.RegisteredEndpoint;

/**
 * Asks an endpoint for its health, to learn whether this VM's links to it work.
 *
 * @param endpoint the endpoint that must answer
 * @param path the path on which the endpoints of its service respond to health checks
 * @param headerNames the headers that endpoints use
 */
record HealthCheck(RegisteredEndpoint endpoint, String path, HeaderNames headerNames) {
  /** Returns the bytes of the request, with a deadline in {@code remainingMillis}. */
  byte[] encode(long remainingMillis) {
    String head =
        "GET "
            + path
            + " HTTP/1.1\r\nHost: "
            + endpoint.address()
            + "\r\n"
            + headerNames.deadlineMillis()
            + ": "
            + remainingMillis
            + "\r\n"
            + headerNames.expectedEndpoint()
            + ": "
            + endpoint.id()
            + "\r\n\r\n";
    return head.getBytes(StandardCharsets.ISO_8859_1);
  }

  /**
   * Returns whether the endpoint itself has answered, be it that it is unhealthy or has no room,
   * and not another one or something on the way.
   */
  boolean isAnsweredBy(EndpointResponse response) {
    boolean isRejected =
        response.headers().has(headerNames.notExecuted()) && !response.isMisdirected();
    return isRejected || namesTheEndpoint(response);
  }

  private boolean namesTheEndpoint(EndpointResponse response) {
    return response
        .headers()
        .find(headerNames.endpointId())
        .filter(endpoint.id().value()::equals)
        .isPresent();
  }

  /** Returns how much longer the endpoint stays cold, if its response says so. */
  Optional<Duration> coldRemaining(EndpointResponse response) {
    return namesTheEndpoint(response)
        ? EndpointReport.readColdRemaining(response, headerNames)
        : Optional.empty();
  }
}
