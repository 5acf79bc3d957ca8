package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;

/** Provides what readiness checks and lookups ask for. Safe on any thread. */
public interface GatewayStatus {
  /** Returns whether this VM accepts requests from callers. */
  boolean isReady();

  /** Returns whether the active configuration has {@code host}; false if there is none yet. */
  boolean isHostConfigured(String host);

  /**
   * Returns the addresses of the VMs that a caller in {@code zone} of {@code region} should use:
   * those of the zone, else those of the region, else those of all regions. Returns none in the
   * last case while this VM has run too briefly to know the VMs of the region.
   */
  ImmutableList<HostAndPort> vmsFor(RegionId region, ZoneId zone);

  /** Returns how long callers may use a lookup response. */
  long lookupTtlMillis();
}
