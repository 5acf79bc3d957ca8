/**
 * Outcomes of requests as callers see them, the policy that decides on retries, and the store of
 * idempotency keys that keeps a request and its retries from running twice.
 *
 * <p>Failed attempts and idempotency keys go in; retry decisions, outcomes with their HTTP status
 * and error code, and stored responses come out. Start with {@link
 * org.mustardstage.core.outcome.Outcome} and {@link org.mustardstage.core.outcome.RetryPolicy}.
 */
package org.mustardstage.core.outcome;
