package org.mustardstage.core.config;

import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ZoneId;

/** What a manifest may not change of the one in force. */
public sealed interface ManifestChangeProblem {
  /**
   * An endpoint keeps its name and gets another zone. A zone that is cut off would go on using the
   * permits that the other zone now has too; a new name avoids it.
   */
  record EndpointChangedZone(EndpointId endpoint, ZoneId before, ZoneId after)
      implements ManifestChangeProblem {}

  /** A zone keeps its name and gets another region, so that its entry VMs no longer match. */
  record ZoneChangedRegion(ZoneId zone, RegionId before, RegionId after) implements ManifestChangeProblem {}
}
