package org.mustardstage.core.manifest;

import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;

/** What a planned drain empties. */
public sealed interface DrainTarget {
  /** One endpoint. */
  record OfEndpoint(EndpointId endpoint) implements DrainTarget {}

  /** All endpoints of a zone. */
  record OfZone(ZoneId zone) implements DrainTarget {}

  /** One entry VM, which leaves the look-up answers. */
  record OfEntryVm(VmId vm) implements DrainTarget {}
}
