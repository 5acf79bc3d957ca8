package org.mustardstage.core.manifest;

import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ZoneId;

/** An availability zone and the region it lies in. */
public record Zone(ZoneId id, RegionId region) {}
