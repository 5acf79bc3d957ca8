/** The benchmark of the request path: latency added to a direct call, and look-ups a second. */
package org.mustardstage.standins.bench.traffic;
