/**
 * Compares concurrency limits that are enforced by permits with simpler dispatch policies, in a
 * discrete-event simulation of one zone.
 *
 * <p>Input are the sizes and the offered load of a {@link
 * org.mustardstage.standins.bench.limits.Workload}. Output are Markdown tables of the limit
 * violations, idle slots, latency and messages of each policy, of the capacity lost when an entry
 * VM stops, and of the time of one permit acquisition. Start with {@link
 * org.mustardstage.standins.bench.limits.LimitsBench}.
 */
package org.mustardstage.standins.bench.limits;
