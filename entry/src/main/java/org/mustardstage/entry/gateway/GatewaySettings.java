package org.mustardstage.entry.gateway;

import com.google.common.base.Preconditions;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.placement.RegionShiftLimit;

/**
 * The settings of an entry VM that serves a deployment described by routes.
 *
 * @param vm the VM
 * @param zone its zone
 * @param region its region
 * @param regions the region of each zone
 * @param callerAddress where callers send requests
 * @param readinessAddress where the platform asks whether the VM takes callers
 * @param lookupAddress where callers ask which VMs to use; empty if this VM doesn't answer that
 * @param peerAddress where other entry VMs connect
 * @param metricsAddress where counters and histograms are served
 * @param platformAddress where the platform's store answers
 * @param seedPeers peer addresses to try before the list of VMs is known
 * @param answerLifetimeMillis how long callers may keep a look-up answer
 * @param stopWithinMillis how long a graceful stop may take
 * @param repeatShare the share of first sends that all VMs together may send again
 * @param repeatReserve the repeats that all VMs together may send beyond that share
 * @param moveLimit how fast requests may change the region in which they run
 * @param milliCores the VM's processor, in thousandths of a core
 * @param logLevel the least important level that is logged
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
    RegionShiftLimit moveLimit,
    int milliCores,
    String logLevel) {
  /** Copies the collections and checks the ranges. */
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
        repeatShare >= 0 && repeatShare <= 1, "repeatShare must be between 0 and 1");
    Preconditions.checkArgument(repeatReserve >= 0, "repeatReserve must not be negative");
    Preconditions.checkArgument(milliCores > 0, "the processor must not be empty");
  }
}
