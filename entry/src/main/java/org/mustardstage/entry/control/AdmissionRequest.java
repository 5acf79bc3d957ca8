package org.mustardstage.entry.control;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.manifest.Call;

/**
 * Asks for the admission of one attempt of a request.
 *
 * @param service the requested service
 * @param call the kind of call
 * @param deadlineNanos when the caller stops waiting, on the clock of {@link System#nanoTime}
 * @param attempt 0 for the first attempt, then 1, 2, ...; retries draw on the retry budget
 * @param excluded endpoints that rejected or failed an earlier attempt
 */
public record AdmissionRequest(
    ServiceName service, Call call, long deadlineNanos, int attempt, Set<EndpointId> excluded) {
  /** Makes an immutable copy of the set. */
  public AdmissionRequest {
    excluded = ImmutableSet.copyOf(excluded);
  }
}
