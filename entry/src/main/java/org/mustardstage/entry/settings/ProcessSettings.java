package org.mustardstage.entry.settings;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.List;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.DocumentProblem;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.Member;
import org.mustardstage.entry.traffic.TrafficLimits;
import org.mustardstage.entry.traffic.TrafficSettings;
import org.mustardstage.schema.SettingsReader;
import org.mustardstage.schema.generated.EntrySettings;

/**
 * The settings of one entry VM process.
 *
 * @param vm the name of the entry VM
 * @param zone the zone in which the VM runs
 * @param region the region in which the VM runs
 * @param trafficAddress the listen address for callers
 * @param peerAddress the listen address for other entry VMs
 * @param adminAddress the listen address for operators
 * @param platformAddress the address of the platform's store
 * @param seedPeers peer addresses to contact when the platform's VM list can't be read
 * @param traffic the settings of the request path
 * @param jsonLogs whether log lines are JSON; otherwise they are text
 * @param logLevel the minimum level that is logged
 */
public record ProcessSettings(
    VmId vm,
    ZoneId zone,
    RegionId region,
    HostAndPort trafficAddress,
    HostAndPort peerAddress,
    HostAndPort adminAddress,
    HostAndPort platformAddress,
    List<HostAndPort> seedPeers,
    TrafficSettings traffic,
    boolean jsonLogs,
    String logLevel) {
  /** Makes an immutable copy of the list. */
  public ProcessSettings {
    seedPeers = ImmutableList.copyOf(seedPeers);
  }

  /** Parses the settings in {@code yaml}. Returns all problems of the document if it is invalid. */
  public static Either<List<DocumentProblem>, ProcessSettings> read(String yaml) {
    return SettingsReader.read(yaml, EntrySettings.class).map(ProcessSettings::of);
  }

  private static ProcessSettings of(EntrySettings settings) {
    HostAndPort trafficAddress = address(settings, settings.getTrafficPort());
    return new ProcessSettings(
        new VmId(settings.getVm()),
        new ZoneId(settings.getZone()),
        new RegionId(settings.getRegion()),
        trafficAddress,
        address(settings, settings.getPeerPort()),
        address(settings, settings.getAdminPort()),
        HostAndPort.parse(settings.getPlatformAddress()),
        settings.getSeedPeers().stream().map(HostAndPort::parse).toList(),
        new TrafficSettings(
            trafficAddress,
            Math.toIntExact(settings.getTrafficThreads()),
            Math.toIntExact(settings.getMaxCallerConnections()),
            settings.getMaxBodyBytes(),
            settings.getHeaderTimeoutMillis(),
            TrafficLimits.defaults()),
        settings.getLogFormat() == EntrySettings.LogFormat.JSON,
        settings.getLogLevel().value());
  }

  private static HostAndPort address(EntrySettings settings, long port) {
    return new HostAndPort(settings.getAddress(), Math.toIntExact(port));
  }

  /** Returns the membership entry of this process with the given incarnation number. */
  public Member toMember(long incarnationNumber) {
    return new Member(
        new VmIncarnation(vm, incarnationNumber),
        zone,
        region,
        trafficAddress,
        peerAddress,
        adminAddress,
        /* leaving= */ false);
  }
}
