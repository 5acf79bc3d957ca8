package org.mustardstage.core.config;

import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ZoneId;

/** A difference from the active manifest that is not allowed. */
public sealed interface ManifestChangeProblem {
  /**
   * An endpoint has the same name but another zone. If the old zone is partitioned, it keeps using
   * the permits of the endpoint, which the new zone now owns as well. A new name for the endpoint
   * avoids this.
   */
  record EndpointChangedZone(EndpointId endpoint, ZoneId before, ZoneId after)
      implements ManifestChangeProblem {}

  /**
   * A zone has the same name but another region, which no longer matches the region of its entry
   * VMs.
   */
  record ZoneChangedRegion(ZoneId zone, RegionId before, RegionId after)
      implements ManifestChangeProblem {}
}
