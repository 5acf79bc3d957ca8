package org.mustardstage.standins.bench.policies;

/**
 * The fraction of free slots at the endpoint with the fewest, sampled in windows of 250 ms.
 *
 * @param mean the mean of all windows
 * @param min the minimum of all windows
 */
record Headroom(double mean, double min) {}
