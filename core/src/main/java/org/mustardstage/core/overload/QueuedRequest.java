package org.mustardstage.core.overload;

import org.mustardstage.core.manifest.Priority;

/**
 * A request that waits for an endpoint.
 *
 * @param requestId names the request, unique within the queue
 * @param priority the place of its call under overload
 * @param arrivedNanos when it arrived
 * @param deadlineNanos when its caller stops waiting
 */
public record QueuedRequest(
    long requestId, Priority priority, long arrivalNanos, long deadlineNanos) {}
