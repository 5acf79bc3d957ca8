package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;

/** What an entry VM tells those who ask it before they send requests. Safe on any thread. */
public interface GatewayStatus {
  /** Returns whether callers may send requests to this VM. */
  boolean isReady();

  /** Returns whether any version of the configuration, as far as known, has {@code host}. */
  boolean isHostConfigured(String host);

  /** Returns the addresses of the VMs that a caller in {@code zone} should use. */
  ImmutableList<HostAndPort> vmsFor(RegionId region, ZoneId zone);

  /** Returns how long such an answer holds. */
  long lookupTtlMillis();
}
