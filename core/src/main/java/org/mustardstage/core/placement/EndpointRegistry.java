package org.mustardstage.core.placement;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.ZoneId;

/**
 * Tracks which endpoints may receive new requests, from the platform's registry of endpoints and
 * the zones that are evacuated.
 *
 * <p>Tolerates an outage of the platform's registry: entries that expire while it is unavailable
 * are written again by their endpoints soon after it recovers. During the outage and the recovery,
 * an endpoint whose entry is missing stays usable; at other times it is removed immediately.
 */
public final class EndpointRegistry {
  /** How long after the registry's recovery an expired entry may still be missing. */
  private static final long RECOVERY_NANOS = 2_200_000_000L;

  /** How long an endpoint is treated as cold after an evacuation, until its entry says so. */
  private static final long COLD_AFTER_EVACUATION_NANOS = 3_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Map<EndpointId, Entry> entries = new HashMap<>();
  private final Map<EndpointId, Long> missingSinceNanos = new HashMap<>();
  private final Set<ZoneId> evacuatedZones = new HashSet<>();
  private final Map<ZoneId, Long> evacuationEndNanos = new HashMap<>();
  private boolean registryAvailable = true;
  private long availableSinceNanos = Long.MIN_VALUE / 2;

  private static final class Entry {
    private final RegisteredEndpoint endpoint;
    private final long coldUntilNanos;

    Entry(RegisteredEndpoint endpoint, long coldUntilNanos) {
      this.endpoint = endpoint;
      this.coldUntilNanos = coldUntilNanos;
    }
  }

  /** Records whether the platform's registry responds; recovery starts when it does again. */
  public void setRegistryAvailable(long nowNanos, boolean available) {
    if (available && !registryAvailable) {
      availableSinceNanos = nowNanos;
    }
    registryAvailable = available;
  }

  /**
   * Stores an entry.
   *
   * @return whether the endpoint is new, has restarted or has started or stopped draining; false
   *     for a mere heartbeat
   */
  public boolean updateEntry(long nowNanos, RegisteredEndpoint endpoint) {
    missingSinceNanos.remove(endpoint.id());
    long coldUntilNanos = nowNanos + endpoint.coldRemainingMillis() * NANOS_PER_MILLI;
    Entry known = entries.get(endpoint.id());
    boolean sameIncarnation = known != null && known.endpoint.isSameIncarnationAs(endpoint);
    if (sameIncarnation
        && endpoint.coldRemainingMillis() > 0
        && known.coldUntilNanos - nowNanos > 0) {
      coldUntilNanos = Math.min(coldUntilNanos, known.coldUntilNanos);
    }
    entries.put(endpoint.id(), new Entry(endpoint, coldUntilNanos));
    return !sameIncarnation || known.endpoint.draining() != endpoint.draining();
  }

  /**
   * Removes an endpoint whose entry is missing or unreadable. While the registry is unavailable or
   * recovering, only marks it as missing, for {@link #removeMissingEntries}.
   *
   * @return whether the endpoint was removed
   */
  public boolean removeEntry(long nowNanos, EndpointId id) {
    if (!entries.containsKey(id)) {
      return false;
    }
    if (isRecovering(nowNanos)) {
      missingSinceNanos.putIfAbsent(id, nowNanos);
      return false;
    }
    entries.remove(id);
    return true;
  }

  private boolean isRecovering(long nowNanos) {
    return !registryAvailable || nowNanos - availableSinceNanos < RECOVERY_NANOS;
  }

  /** Replaces the set of evacuated zones; returns whether it changed. */
  public boolean setEvacuatedZones(long nowNanos, Set<ZoneId> zones) {
    if (evacuatedZones.equals(zones)) {
      return false;
    }
    for (ZoneId zone : evacuatedZones) {
      if (!zones.contains(zone)) {
        evacuationEndNanos.put(zone, nowNanos);
      }
    }
    evacuatedZones.clear();
    evacuatedZones.addAll(zones);
    return true;
  }

  /**
   * Removes the endpoints that are still missing after the registry's recovery.
   *
   * @return whether any were missing
   */
  public boolean removeMissingEntries(long nowNanos) {
    if (isRecovering(nowNanos) || missingSinceNanos.isEmpty()) {
      return false;
    }
    missingSinceNanos.keySet().forEach(entries::remove);
    missingSinceNanos.clear();
    return true;
  }

  /** Returns the endpoints of {@code service} that may receive new requests. */
  public ImmutableList<UsableEndpoint> usableEndpoints(ServiceName service) {
    List<UsableEndpoint> usable = new ArrayList<>();
    for (Entry entry : entries.values()) {
      RegisteredEndpoint endpoint = entry.endpoint;
      if (endpoint.service().equals(service)
          && !endpoint.draining()
          && !evacuatedZones.contains(endpoint.zone())) {
        usable.add(new UsableEndpoint(endpoint, coldUntilNanos(entry)));
      }
    }
    return ImmutableList.copyOf(usable);
  }

  private long coldUntilNanos(Entry entry) {
    Long evacuationEnd = evacuationEndNanos.get(entry.endpoint.zone());
    if (evacuationEnd == null) {
      return entry.coldUntilNanos;
    }
    return Math.max(entry.coldUntilNanos, evacuationEnd + COLD_AFTER_EVACUATION_NANOS);
  }

  /** Returns whether the endpoint {@code id} may receive new requests. */
  public boolean isUsable(EndpointId id) {
    return find(id)
        .filter(endpoint -> !endpoint.draining() && !evacuatedZones.contains(endpoint.zone()))
        .isPresent();
  }

  /** Returns the entry of the endpoint {@code id}. */
  public Optional<RegisteredEndpoint> find(EndpointId id) {
    return Optional.ofNullable(entries.get(id)).map(entry -> entry.endpoint);
  }
}
