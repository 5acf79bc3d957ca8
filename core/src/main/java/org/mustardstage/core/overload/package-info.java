/**
 * Overload protection of one entry VM: which waiting request of a service runs next, which are
 * rejected and with what retry delay, and how many retries the entry VM itself may send.
 *
 * <p>Requests, the latencies of responses and the current time go in; the next request and the
 * rejections, each with a reason for its caller, come out. Start with {@link
 * org.mustardstage.core.overload.RequestQueue}; {@link org.mustardstage.core.overload.RetryBudget}
 * is independent of it.
 */
package org.mustardstage.core.overload;
