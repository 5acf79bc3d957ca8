package org.mustardstage.core.overload;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;

/**
 * The request that runs next, and those that can no longer run.
 *
 * @param next the request that left the queue to run, if any waits
 * @param expired requests that can't finish in time; each is answered at once
 */
public record PollResult(Optional<QueuedRequest> next, List<Rejection> expired) {
  /** Copies the list. */
  public PollResult {
    expired = ImmutableList.copyOf(expired);
  }
}
