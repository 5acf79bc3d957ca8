package org.mustardstage.entry.traffic;

import io.vavr.control.Either;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.outcome.KeyPrefix;
import org.mustardstage.core.outcome.NotRunCause;

/** Responds to lookups. Called frequently on traffic threads, so it must not block. */
@FunctionalInterface
public interface LookupHandler {
  /**
   * Returns the lookup response as JSON, or the reason why there is none.
   *
   * @param service the service to look up
   * @param callerAddress the IPv4 address of the caller, as an unsigned 32-bit number
   * @param keyPrefix the idempotency key prefix to issue with the response
   */
  Either<NotRunCause, byte[]> lookup(ServiceName service, int callerAddress, KeyPrefix keyPrefix);
}
