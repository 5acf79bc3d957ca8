package org.mustardstage.core.lookup;

import org.mustardstage.core.id.RegionId;

/** Why a caller is sent to the entry VMs of a region. */
public sealed interface LookupReason {
  /** The caller's block names this region. */
  record ClosestRegion(RegionId region) implements LookupReason {}

  /** The caller's block names a region without live entry VMs, so another one serves. */
  record RegionHasNoVms(RegionId wanted, RegionId used) implements LookupReason {}

  /** No block holds the caller's address, so the region that answers serves. */
  record NotInAnyBlock(RegionId used) implements LookupReason {}
}
