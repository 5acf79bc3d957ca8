package org.mustardstage.entry.traffic;

import com.google.common.base.Preconditions;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * Settings of the request path.
 *
 * @param listenAddress where callers connect
 * @param trafficThreads the number of event loops
 * @param maxCallerConnections the most open connections of callers
 * @param maxBodyBytes the largest body of a request
 * @param headerTimeoutMillis how long a caller may take to send the head of a request
 * @param limits the bounds that operators rarely change
 */
public record TrafficSettings(
    HostAndPort listenAddress,
    int trafficThreads,
    int maxCallerConnections,
    long maxBodyBytes,
    long headerTimeoutMillis,
    TrafficLimits limits) {
  private static final int DEFAULT_CALLER_CONNECTIONS = 10_000;
  private static final long DEFAULT_BODY_BYTES = 64L << 20;
  private static final long DEFAULT_HEADER_TIMEOUT_MILLIS = 5_000;

  /** Checks that the bounds are positive. */
  public TrafficSettings {
    Preconditions.checkArgument(trafficThreads > 0, "trafficThreads must be positive");
    Preconditions.checkArgument(maxCallerConnections > 0, "maxCallerConnections must be positive");
    Preconditions.checkArgument(maxBodyBytes > 0, "maxBodyBytes must be positive");
    Preconditions.checkArgument(headerTimeoutMillis > 0, "headerTimeoutMillis must be positive");
  }

  /** Returns the settings of one thread that listens on {@code address}. */
  public static TrafficSettings defaults(HostAndPort address) {
    return new TrafficSettings(
        address,
        1,
        DEFAULT_CALLER_CONNECTIONS,
        DEFAULT_BODY_BYTES,
        DEFAULT_HEADER_TIMEOUT_MILLIS,
        TrafficLimits.defaults());
  }
}
