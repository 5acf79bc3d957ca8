package org.mustardstage.standins.load;

import java.util.Optional;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.manifest.Call;

/**
 * A request that a caller sends.
 *
 * @param service the service
 * @param call the kind of call
 * @param token what tells the answer to this request from others
 * @param bodyBytes the size of the body
 * @param idempotencyKey the key under which it may run once at most, if the call is not idempotent
 */
record PlannedRequest(
    ServiceName service, Call call, String token, int bodyBytes, Optional<String> idempotencyKey) {
  PlannedRequest withKey(String key) {
    return new PlannedRequest(service, call, token, bodyBytes, Optional.of(key));
  }
}
