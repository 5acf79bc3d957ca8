package org.mustardstage.standins.endpoint;

import com.google.common.primitives.Longs;
import io.activej.http.HttpRequest;
import java.util.Optional;
import java.util.OptionalLong;
import org.mustardstage.standins.http.Headers;

/**
 * The parts of an HTTP request that an endpoint uses.
 *
 * @param requestId the id of this attempt
 * @param idempotencyKey the key under which the request may run at most once
 * @param token text that the response repeats, so that the caller recognizes its own response
 * @param timeLeftMillis the time until the deadline, if the request has one
 * @param path the path of the URL
 */
record EndpointRequest(
    String requestId,
    Optional<String> idempotencyKey,
    Optional<String> token,
    OptionalLong timeLeftMillis,
    String path) {
  static final String TOKEN_PARAMETER = "token";

  static EndpointRequest of(HttpRequest request, String fallbackId) {
    return new EndpointRequest(
        Optional.ofNullable(request.getHeader(Headers.REQUEST_ID)).orElse(fallbackId),
        Optional.ofNullable(request.getHeader(Headers.IDEMPOTENCY_KEY)),
        Optional.ofNullable(request.getQueryParameter(TOKEN_PARAMETER)),
        timeLeftMillis(request.getHeader(Headers.DEADLINE_MILLIS)),
        request.getPath());
  }

  private static OptionalLong timeLeftMillis(String text) {
    Long millis = text == null ? null : Longs.tryParse(text);
    return millis == null ? OptionalLong.empty() : OptionalLong.of(millis);
  }
}
