package org.mustardstage.entry.traffic;

import io.vavr.control.Either;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.outcome.KeyPrefix;
import org.mustardstage.core.outcome.NotRunCause;

/** Answers look-ups. It is called on traffic threads, often, and must not block. */
@FunctionalInterface
public interface LookupHandler {
  /**
   * Returns the JSON of the look-up answer, or why there is none.
   *
   * @param service the service that is looked up
   * @param callerAddress the IPv4 address of the caller, as an unsigned 32-bit number
   * @param keyPrefix the key prefix to hand out with the answer
   */
  Either<NotRunCause, byte[]> lookup(ServiceName service, int callerAddress, KeyPrefix keyPrefix);
}
