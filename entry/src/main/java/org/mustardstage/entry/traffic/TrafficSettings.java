package org.mustardstage.entry.traffic;

import com.google.common.base.Preconditions;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * Settings of the request path.
 *
 * @param listenAddress the address for callers
 * @param trafficThreads the number of event loops
 * @param maxCallerConnections the maximum number of open caller connections
 * @param maxBodyBytes the maximum size of a request body
 * @param headerTimeoutMillis how long a caller may take to send a request head
 * @param limits limits that operators rarely change
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

  /** Rejects settings that are not positive. */
  public TrafficSettings {
    Preconditions.checkArgument(trafficThreads > 0, "trafficThreads must be positive");
    Preconditions.checkArgument(maxCallerConnections > 0, "maxCallerConnections must be positive");
    Preconditions.checkArgument(maxBodyBytes > 0, "maxBodyBytes must be positive");
    Preconditions.checkArgument(headerTimeoutMillis > 0, "headerTimeoutMillis must be positive");
  }

  /** Returns default settings for a server with one thread that listens on {@code address}. */
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
