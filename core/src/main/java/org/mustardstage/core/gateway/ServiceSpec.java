package org.mustardstage.core.gateway;

import com.google.common.base.Preconditions;
import org.mustardstage.core.id.ServiceName;

/**
 * A service as operators declare it.
 *
 * @param name the name of the service
 * @param healthPath the path on which endpoints respond to health checks
 * @param maxConnectionsPerEndpoint the number of connections that one endpoint accepts from all
 *     entry VMs together
 * @param coldDurationMillis how long an endpoint stays cold after it starts
 * @param coldRequestsPerSecond the request rate that a cold endpoint can handle
 */
public record ServiceSpec(
    ServiceName name,
    String healthPath,
    int maxConnectionsPerEndpoint,
    long coldDurationMillis,
    double coldRequestsPerSecond) {
  /** Checks the ranges. */
  public ServiceSpec {
    Preconditions.checkArgument(
        maxConnectionsPerEndpoint > 0,
        "service %s: connection limit must be positive: %s",
        name,
        maxConnectionsPerEndpoint);
    Preconditions.checkArgument(
        coldDurationMillis >= 0,
        "service %s: cold duration must not be negative: %s",
        name,
        coldDurationMillis);
    Preconditions.checkArgument(
        coldRequestsPerSecond >= 0,
        "service %s: request rate of cold endpoints must not be negative: %s",
        name,
        coldRequestsPerSecond);
  }
}
