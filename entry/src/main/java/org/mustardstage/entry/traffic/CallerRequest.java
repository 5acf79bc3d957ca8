package org.mustardstage.entry.traffic;

import io.activej.http.HttpMethod;
import java.util.Optional;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.manifest.Call;

/**
 * A request of a caller that is carried to an endpoint.
 *
 * @param service the service
 * @param call the kind of call
 * @param method the HTTP method
 * @param pathAndQuery the path and query as the caller wrote them
 * @param headers the headers that are passed on
 * @param body the body
 * @param key the idempotency key as the caller wrote it
 * @param deadlineNanos when the caller stops waiting
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
  /** Returns whether the body can be sent more than once. */
  boolean isBodyReplayable() {
    return body instanceof Body.Buffered;
  }
}
