package org.mustardstage.entry.control;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.manifest.Call;

/**
 * A request that asks for leave to be sent to an endpoint.
 *
 * @param service the service
 * @param call the kind of call
 * @param deadlineNanos when the caller stops waiting, on the clock of {@link System#nanoTime}
 * @param attempt 0 for the first try, then 1, 2, ...; later tries draw on the retry budget
 * @param avoid endpoints that refused or failed an earlier try
 */
public record AdmissionRequest(
    ServiceName service, Call call, long deadlineNanos, int attempt, Set<EndpointId> excluded) {
  /** Copies the set. */
  public AdmissionRequest {
    excluded = ImmutableSet.copyOf(excluded);
  }
}
