package org.mustardstage.core.placement;

import com.google.common.base.Preconditions;
import java.time.Duration;
import java.util.Optional;

/**
 * What an endpoint says in a response about the requests that it wants from this VM.
 *
 * @param leaving whether the endpoint is about to stop and wants no new requests
 * @param retryAfter how long the endpoint wants no requests from this VM
 * @param limit the rate of requests that the endpoint takes from all VMs together
 */
public record EndpointNotice(boolean leaving, Optional<Duration> retryAfter, LimitNotice limit) {
  /** The notice in a response that says nothing of the kind. */
  public static final EndpointNotice NONE =
      new EndpointNotice(false, Optional.empty(), LimitNotice.UNKNOWN);

  /** Checks that the time is not negative. */
  public EndpointNotice {
    Preconditions.checkArgument(
        retryAfter.filter(Duration::isNegative).isEmpty(),
        "retryAfter must not be negative: %s",
        retryAfter);
  }
}
