package org.mustardstage.entry.gateway;

import com.google.common.base.Preconditions;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.mustardstage.core.hedge.HedgeSettings;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.placement.RegionShiftLimit;
import org.mustardstage.core.quota.QuotaSettings;

/**
 * The settings of an entry VM that serves a deployment described by routes.
 *
 * @param vm the VM
 * @param zone its zone
 * @param region its region
 * @param regions the region of each zone
 * @param callerAddress the listening address for callers' requests
 * @param readinessAddress the listening address for the platform's readiness checks
 * @param lookupAddress the listening address for lookups; empty if this VM serves no lookups
 * @param peerAddress the listening address for links from other entry VMs
 * @param metricsAddress the listening address for metrics
 * @param platformAddress the address of the platform's store
 * @param seedPeers the peer addresses that are contacted before the list of VMs is known
 * @param answerLifetimeMillis how long callers may use a lookup response
 * @param stopWithinMillis how long a graceful stop may take
 * @param repeatShare the retry budget of all VMs together, as a share of first attempts
 * @param repeatReserve the retries that all VMs together may send beyond that share
 * @param regionShiftLimit the limit on how fast requests may shift from one region to another
 * @param keyLifetimeMillis how long API keys are accepted without news of the configuration; empty
 *     for as long as it takes
 * @param milliCores the processing capacity of the VM, in thousandths of a core
 * @param maxDescriptors how many files and sockets the process may have open
 * @param logLevel the minimum level of log lines
 * @param quotas how exactly the quotas of tenants hold
 * @param hedging how much extra work is accepted for faster responses
 */
public record GatewaySettings(
    VmId vm,
    ZoneId zone,
    RegionId region,
    Map<ZoneId, RegionId> regions,
    HostAndPort callerAddress,
    HostAndPort readinessAddress,
    Optional<HostAndPort> lookupAddress,
    HostAndPort peerAddress,
    HostAndPort metricsAddress,
    HostAndPort platformAddress,
    List<HostAndPort> seedPeers,
    long answerLifetimeMillis,
    long stopWithinMillis,
    double repeatShare,
    int repeatReserve,
    RegionShiftLimit regionShiftLimit,
    OptionalLong keyLifetimeMillis,
    int milliCores,
    int maxDescriptors,
    String logLevel,
    QuotaSettings quotas,
    HedgeSettings hedging) {
  /** Copies the collections and checks the ranges of the numbers. */
  public GatewaySettings {
    regions = ImmutableMap.copyOf(regions);
    seedPeers = ImmutableList.copyOf(seedPeers);
    Preconditions.checkArgument(
        answerLifetimeMillis > 0,
        "answerLifetimeMillis must be positive: %s",
        answerLifetimeMillis);
    Preconditions.checkArgument(
        stopWithinMillis > 0, "stopWithinMillis must be positive: %s", stopWithinMillis);
    Preconditions.checkArgument(
        repeatShare >= 0 && repeatShare <= 1,
        "repeatShare must be between 0 and 1: %s",
        repeatShare);
    Preconditions.checkArgument(
        repeatReserve >= 0, "repeatReserve must not be negative: %s", repeatReserve);
    Preconditions.checkArgument(
        keyLifetimeMillis.orElse(1) > 0,
        "keyLifetimeMillis (1000 * keyLifetimeSeconds) must be positive: %s",
        keyLifetimeMillis);
    Preconditions.checkArgument(
        milliCores > 0, "milliCores (1000 * cores * cpuShare) must be positive: %s", milliCores);
    Preconditions.checkArgument(
        maxDescriptors > 0, "maxDescriptors must be positive: %s", maxDescriptors);
  }
}
