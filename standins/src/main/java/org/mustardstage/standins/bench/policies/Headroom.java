package org.mustardstage.standins.bench.policies;

/**
 * The free share of the endpoint with the least of it, over windows of a quarter of a second.
 *
 * @param mean the mean over the windows
 * @param least the least of all windows
 */
record Headroom(double mean, double least) {}
