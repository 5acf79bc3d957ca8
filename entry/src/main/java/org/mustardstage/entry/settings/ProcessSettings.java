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
 * The settings of one process.
 *
 * @param vm the VM
 * @param zone its zone
 * @param region its region
 * @param trafficAddress where callers connect
 * @param peerAddress where other entry VMs connect
 * @param adminAddress where operators connect
 * @param platformAddress where the platform answers
 * @param seedPeers peer addresses to try when the platform's list can't be read
 * @param traffic settings of the request path
 * @param jsonLogs whether logs are JSON lines
 * @param logLevel the least important level that is logged
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
  /** Copies the list. */
  public ProcessSettings {
    seedPeers = ImmutableList.copyOf(seedPeers);
  }

  /** Returns the settings that {@code yaml} holds, or all that is wrong with it. */
  public static Either<List<DocumentProblem>, ProcessSettings> read(String yaml) {
    return SettingsReader.read(yaml, EntrySettings.class).map(ProcessSettings::of);
  }

  private static ProcessSettings of(EntrySettings read) {
    HostAndPort trafficAddress = address(read, read.getTrafficPort());
    return new ProcessSettings(
        new VmId(read.getVm()),
        new ZoneId(read.getZone()),
        new RegionId(read.getRegion()),
        trafficAddress,
        address(read, read.getPeerPort()),
        address(read, read.getAdminPort()),
        HostAndPort.parse(read.getPlatformAddress()),
        read.getSeedPeers().stream().map(HostAndPort::parse).toList(),
        new TrafficSettings(
            trafficAddress,
            Math.toIntExact(read.getTrafficThreads()),
            Math.toIntExact(read.getMaxCallerConnections()),
            read.getMaxBodyBytes(),
            read.getHeaderTimeoutMillis(),
            TrafficLimits.defaults()),
        read.getLogFormat() == EntrySettings.LogFormat.JSON,
        read.getLogLevel().value());
  }

  private static HostAndPort address(EntrySettings read, long port) {
    return new HostAndPort(read.getAddress(), Math.toIntExact(port));
  }

  /** Returns this process as the run {@code incarnationNumber} of its VM. */
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
