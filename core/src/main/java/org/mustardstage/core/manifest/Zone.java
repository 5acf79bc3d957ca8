package org.mustardstage.core.manifest;

import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ZoneId;

/** An availability zone and the region that contains it. */
public record Zone(ZoneId id, RegionId region) {}
