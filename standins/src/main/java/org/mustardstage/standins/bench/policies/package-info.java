/**
 * Compares the routing, queueing and drain policies of the core with simple baselines in a
 * discrete-event simulation of callers that retry, entry VMs, and endpoints with slots.
 *
 * <p>Input is a seed; the same seed gives the same results. Output are Markdown tables, plots, and
 * a verdict for each target. Start with {@link
 * org.mustardstage.standins.bench.policies.PolicyBench}, and with {@link
 * org.mustardstage.standins.bench.policies.Simulation} for the model.
 */
package org.mustardstage.standins.bench.policies;
