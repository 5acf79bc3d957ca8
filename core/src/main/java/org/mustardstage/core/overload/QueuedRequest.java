package org.mustardstage.core.overload;

import org.mustardstage.core.manifest.Priority;

/**
 * A request in a {@link RequestQueue}.
 *
 * @param requestId the identifier of the request, unique within the queue
 * @param priority the priority of its call
 * @param arrivalNanos when it arrived
 * @param deadlineNanos when its caller stops waiting for a response
 */
public record QueuedRequest(
    long requestId, Priority priority, long arrivalNanos, long deadlineNanos) {}
