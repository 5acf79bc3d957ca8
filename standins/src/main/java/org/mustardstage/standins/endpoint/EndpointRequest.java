package org.mustardstage.standins.endpoint;

import com.google.common.primitives.Longs;
import io.activej.http.HttpRequest;
import java.util.Optional;
import java.util.OptionalLong;
import org.mustardstage.standins.http.Headers;

/**
 * What an endpoint reads of a request.
 *
 * @param requestId the name of this try of the request
 * @param idempotencyKey the key under which it may run once at most
 * @param token what the caller chose to tell its own answer from others
 * @param deadlineMillis the time left, if there is a limit
 * @param path the path
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
