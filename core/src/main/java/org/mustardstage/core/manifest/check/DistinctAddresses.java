package org.mustardstage.core.manifest.check;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.ManifestProblem;
import org.mustardstage.core.manifest.Service;

/** Requires that no two endpoints have the same address. */
final class DistinctAddresses implements ManifestCheck {
  @Override
  public void check(Manifest manifest, Consumer<ManifestProblem> problems) {
    Map<HostAndPort, EndpointId> endpointsByAddress = new HashMap<>();
    for (Service service : manifest.services()) {
      for (Endpoint endpoint : service.endpoints()) {
        EndpointId other = endpointsByAddress.putIfAbsent(endpoint.address(), endpoint.id());
        if (other != null) {
          problems.accept(
              new ManifestProblem.SharedAddress(
                  ManifestPaths.of(service, endpoint) + "/address", endpoint.address(), other));
        }
      }
    }
  }
}
