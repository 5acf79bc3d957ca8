package org.mustardstage.core.manifest;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.ZoneId;

/**
 * The complete configuration that operators declare. It is activated as a whole or not at all.
 *
 * @param deployment the name of the deployment
 * @param lookupTtlMillis how long callers may cache a lookup response; {@code answerLifetimeMillis}
 *     in the document
 * @param zones the availability zones
 * @param regionLinks the links between regions
 * @param services the services
 * @param callerBlocks the blocks of caller addresses
 * @param moves the planned moves
 * @param drains the planned drains
 */
public record Manifest(
    String deployment,
    long lookupTtlMillis,
    List<Zone> zones,
    List<RegionLink> regionLinks,
    List<Service> services,
    List<CallerBlock> callerBlocks,
    List<PlannedMove> moves,
    List<Drain> drains) {
  /** Copies the lists. */
  public Manifest {
    zones = ImmutableList.copyOf(zones);
    regionLinks = ImmutableList.copyOf(regionLinks);
    services = ImmutableList.copyOf(services);
    callerBlocks = ImmutableList.copyOf(callerBlocks);
    moves = ImmutableList.copyOf(moves);
    drains = ImmutableList.copyOf(drains);
  }

  /** Returns the service called {@code name}. */
  public Optional<Service> findService(ServiceName name) {
    return services.stream().filter(service -> service.name().equals(name)).findFirst();
  }

  /** Returns the region that {@code zone} lies in. */
  public Optional<RegionId> findRegion(ZoneId zone) {
    return zones.stream().filter(z -> z.id().equals(zone)).map(Zone::region).findFirst();
  }
}
