package org.mustardstage.core.gateway;

import com.google.common.base.Preconditions;
import org.mustardstage.core.id.ServiceName;

/**
 * What operators declare of a service.
 *
 * @param name the name
 * @param healthPath the path that endpoints answer health checks on
 * @param connectionLimit the connections that one endpoint accepts from all entry VMs together
 * @param coldMillis how long an endpoint stays cold after a start
 * @param coldPerSecond the requests a second that a cold endpoint can take
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
        maxConnectionsPerEndpoint > 0, "service %s allows no connection", name);
    Preconditions.checkArgument(coldDurationMillis >= 0, "service %s: negative cold time", name);
    Preconditions.checkArgument(coldRequestsPerSecond >= 0, "service %s: negative cold rate", name);
  }
}
