/**
 * Measures the cost of the control plane (configuration, lookup tables, membership) at the largest
 * size that the system is designed for: memory, processor time and bytes sent.
 *
 * <p>Input are a synthetic manifest and simulated members. Output are lines of text. Start with
 * {@link org.mustardstage.standins.bench.capacity.CapacityMain}.
 */
package org.mustardstage.standins.bench.capacity;
