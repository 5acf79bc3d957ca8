package org.mustardstage.core.manifest;

import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;

/** The target of a planned drain. */
public sealed interface DrainTarget {
  /** One endpoint. */
  record OfEndpoint(EndpointId endpoint) implements DrainTarget {}

  /** All endpoints of a zone. */
  record OfZone(ZoneId zone) implements DrainTarget {}

  /** One entry VM, which is left out of lookup responses. */
  record OfEntryVm(VmId vm) implements DrainTarget {}
}
