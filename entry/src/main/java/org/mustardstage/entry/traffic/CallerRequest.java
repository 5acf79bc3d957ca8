package org.mustardstage.entry.traffic;

import io.activej.http.HttpMethod;
import java.util.Optional;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.manifest.Call;

/**
 * A request of a caller that is forwarded to an endpoint.
 *
 * @param service the service
 * @param call the kind of call
 * @param method the HTTP method
 * @param pathAndQuery the path and query as the caller sent them
 * @param headers the headers to forward
 * @param body the body
 * @param key the idempotency key as the caller sent it
 * @param deadlineNanos when the caller stops waiting, on the clock of {@link System#nanoTime}
 */
record CallerRequest(
    ServiceName service,
    Call call,
    HttpMethod method,
    String pathAndQuery,
    HeaderFields headers,
    Body body,
    Optional<String> key,
    long deadlineNanos) {
  /** Returns whether the body is buffered, so that a retry can send it again. */
  boolean isBodyReplayable() {
    return body instanceof Body.Buffered;
  }
}
