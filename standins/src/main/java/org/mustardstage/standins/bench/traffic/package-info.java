/**
 * Measures the request path of an entry VM over loopback: the latency that it adds to a direct
 * call, and the lookups per second of processor time.
 *
 * <p>Input is the number of seconds for each part. Output are lines of text. Start with {@link
 * org.mustardstage.standins.bench.traffic.TrafficBench}.
 */
package org.mustardstage.standins.bench.traffic;
