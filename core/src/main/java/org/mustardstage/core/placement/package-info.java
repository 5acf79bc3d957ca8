/**
 * Decides for each request which endpoint it is sent to, how long it may be queued until a slot is
 * free, and when it is rejected.
 *
 * <p>Takes requests, the usable endpoints and the results of attempts; returns placement decisions.
 * Start with {@link org.mustardstage.core.placement.ServiceScheduler}. Free of I/O and threads, so
 * that the same classes run in tests and in the entry VM.
 */
package org.mustardstage.core.placement;
