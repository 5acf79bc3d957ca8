package org.mustardstage.core.manifest.check;

import org.mustardstage.core.manifest.Call;
import org.mustardstage.core.manifest.CallerBlock;
import org.mustardstage.core.manifest.Drain;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.PlaceLimit;
import org.mustardstage.core.manifest.PlannedMove;
import org.mustardstage.core.manifest.RegionLink;
import org.mustardstage.core.manifest.Service;
import org.mustardstage.core.manifest.Zone;

/** Returns the paths of the parts of a manifest, as used in problems. */
final class ManifestPaths {
  private ManifestPaths() {}

  static String of(Zone zone) {
    return "/zones/" + zone.id();
  }

  static String of(RegionLink link) {
    return "/regionLinks/" + link.first() + "-" + link.second();
  }

  static String of(Service service) {
    return "/services/" + service.name();
  }

  static String of(Service service, Call call) {
    return of(service) + "/calls/" + call.name();
  }

  static String of(Service service, Endpoint endpoint) {
    return of(service) + "/endpoints/" + endpoint.id();
  }

  static String of(Service service, PlaceLimit limit) {
    return of(service) + "/placeLimits/" + limit.region();
  }

  static String of(CallerBlock block) {
    return "/callerBlocks/" + block.prefix();
  }

  static String of(PlannedMove move) {
    return "/moves/" + move.id();
  }

  static String of(Drain drain) {
    return "/drains/" + drain.id();
  }
}
