package org.mustardstage.core.overload;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;

/**
 * The requests that a poll removed from the queue: the one that runs next and those that expired.
 *
 * @param next the request to run, if any was queued
 * @param expired the rejections of requests that can't finish before their deadline; their callers
 *     get a response at once
 */
public record PollResult(Optional<QueuedRequest> next, List<Rejection> expired) {
  /** Makes an immutable copy of the list. */
  public PollResult {
    expired = ImmutableList.copyOf(expired);
  }
}
