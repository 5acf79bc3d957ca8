package org.mustardstage.core.lookup;

import org.mustardstage.core.id.RegionId;

/** The reason why a caller is directed to the entry VMs of a region. */
public sealed interface LookupReason {
  /** The block of the caller's address names this region. */
  record ClosestRegion(RegionId region) implements LookupReason {}

  /**
   * The block of the caller's address names a region without live entry VMs, so another region is
   * used.
   */
  record RegionHasNoVms(RegionId wanted, RegionId used) implements LookupReason {}

  /** No block contains the caller's address, so the region of the responding VM is used. */
  record NotInAnyBlock(RegionId used) implements LookupReason {}
}
