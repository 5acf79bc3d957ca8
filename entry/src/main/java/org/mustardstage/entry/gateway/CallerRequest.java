package org.mustardstage.entry.gateway;

import io.activej.http.HttpMethod;
import java.net.InetAddress;
import java.util.Optional;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.http.HeaderList;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.placement.RequestFingerprint;
import org.mustardstage.core.tenant.ApiKeyHash;
import org.mustardstage.core.tenant.Tenant;

/**
 * A request of a caller, with its complete body.
 *
 * @param id the request id that the caller chose
 * @param rule the routing rule that the request matches
 * @param tenant the tenant whose caller sent it; empty if the request needs no key
 * @param keyHash the hash of the API key that came with it, also if it needs none
 * @param service the service that the request is sent to
 * @param affinityKey the key whose requests are kept together, if the rule has affinity
 * @param method the HTTP method
 * @param pathAndQuery the request target as the caller wrote it
 * @param headers the headers that are forwarded to the endpoint
 * @param body the complete body; must not be modified
 * @param callerAddress the address from which the caller connected
 * @param arrivalNanos when the request arrived
 * @param deadlineNanos the earlier of the caller's deadline and the rule's timeout
 * @param relay what the VM says that relayed the request; empty if the caller itself sent it
 */
@SuppressWarnings("ArrayRecordComponent")
record CallerRequest(
    String id,
    RoutingRule rule,
    Optional<Tenant> tenant,
    Optional<ApiKeyHash> keyHash,
    ServiceName service,
    Optional<String> affinityKey,
    HttpMethod method,
    String pathAndQuery,
    HeaderList headers,
    byte[] body,
    InetAddress callerAddress,
    long arrivalNanos,
    long deadlineNanos,
    Optional<RelayHeader> relay) {
  /** Returns whether the response has no body whatever its headers say. */
  boolean hasNoResponseBody() {
    return method == HttpMethod.HEAD;
  }

  /** Returns what identifies the request when it comes again. */
  RequestFingerprint fingerprint() {
    return RequestFingerprint.of(pathAndQuery, callerIdentity(), body);
  }

  /**
   * Returns what the request says of its caller: its credentials, hashed if they are an API key,
   * and its affinity key. Other cookies may differ each time.
   */
  private String callerIdentity() {
    return headers.find("Authorization").orElse("")
        + keyHash.map(hash -> "\n" + hash).orElse("")
        + "\n"
        + affinityKey.orElse("");
  }
}
