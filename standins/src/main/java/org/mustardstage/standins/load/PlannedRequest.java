package org.mustardstage.standins.load;

import java.util.Optional;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.manifest.Call;

/**
 * A request of the load plan.
 *
 * @param service the service to send it to
 * @param call the call of the service, as the manifest declares it
 * @param token unique text that the response repeats, so that the caller recognizes its own
 *     response
 * @param bodyBytes the size of the request body
 * @param idempotencyKey the key under which the request may run at most once; set before the first
 *     attempt if the call is not idempotent
 */
record PlannedRequest(
    ServiceName service, Call call, String token, int bodyBytes, Optional<String> idempotencyKey) {
  PlannedRequest withKey(String key) {
    return new PlannedRequest(service, call, token, bodyBytes, Optional.of(key));
  }
}
