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
 *
 * <p>An incarnation that was once known as leaving stays so, whether its entry or one of its
 * responses said it. Tolerates a registry that is restored from an older copy: for a while after
 * that, entries of incarnations that were removed or replaced before are not believed.
 *
 * <p>Of all that an incarnation says about how long it stays cold, in entries and in responses, the
 * last counts, whether it shortens the time or lengthens it: an endpoint may become cold again at
 * any moment. Where an entry may be older than what is known, the longer time counts.
 */
public final class EndpointRegistry {
  /** How long after the registry's recovery an expired entry may still be missing. */
  private static final long RECOVERY_NANOS = 2_200_000_000L;

  /** How long an endpoint is treated as cold after an evacuation, until its entry says so. */
  private static final long COLD_AFTER_EVACUATION_NANOS = 3_000_000_000L;

  /**
   * How long entries of removed or replaced incarnations are not believed after the registry was
   * restored from an older copy. By then the registry has removed the entries that are not renewed.
   */
  private static final long RESTORE_GRACE_NANOS = 30_000_000_000L;

  /** How long an entry may be on its way: until readers poll it, and from them to other VMs. */
  private static final long ENTRY_LATENCY_NANOS = 2_000_000_000L;

  /** By how much a cold time must be lengthened for it to be reported as a change. */
  private static final long REPORTED_LENGTHENING_NANOS = 1_000_000_000L;

  /** How long removed and leaving incarnations are remembered. */
  private static final long DEPARTURE_MEMORY_NANOS = 600_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Map<EndpointId, Departure> removed = new HashMap<>();
  private final Map<EndpointId, Departure> leaving = new HashMap<>();

  /** Entries that are not believed until the grace period after a restoration ends. */
  private final Map<EndpointId, RegisteredEndpoint> unconfirmed = new HashMap<>();

  /** When the registry was last restored from an older copy. */
  private long restoredNanos = Long.MIN_VALUE / 2;

  private final Map<EndpointId, Entry> entries = new HashMap<>();
  private final Map<EndpointId, Long> missingSinceNanos = new HashMap<>();
  private final Set<ZoneId> evacuatedZones = new HashSet<>();
  private final Map<ZoneId, Long> evacuationEndNanos = new HashMap<>();
  private boolean registryAvailable = true;
  private long availableSinceNanos = Long.MIN_VALUE / 2;

  /** An incarnation of an endpoint that has left or is leaving. */
  private record Departure(long startTimeMillis, long recordedNanos) {
    boolean isOf(RegisteredEndpoint endpoint) {
      return startTimeMillis == endpoint.startTimeMillis();
    }
  }

  /**
   * What is known of an incarnation.
   *
   * @param responseNanos when it last said in a response how long it stays cold
   */
  private record Entry(RegisteredEndpoint endpoint, long coldUntilNanos, long responseNanos) {
    Entry(RegisteredEndpoint endpoint, long coldUntilNanos) {
      this(endpoint, coldUntilNanos, Long.MIN_VALUE / 2);
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
   * Records that the registry was restored from an older copy, in which entries are missing that
   * will be written again, and others are back that were removed.
   */
  public void onRegistryRestored(long nowNanos) {
    availableSinceNanos = nowNanos;
    restoredNanos = nowNanos;
  }

  /**
   * Records that an incarnation said in a response that it is leaving. A later incarnation that is
   * leaving too is not forgotten for it.
   *
   * @return whether this was not known before
   */
  public boolean markLeaving(long nowNanos, EndpointIncarnation endpoint) {
    Departure known = leaving.get(endpoint.id());
    if (known != null && known.startTimeMillis() > endpoint.startTimeMillis()) {
      return false;
    }
    leaving.put(endpoint.id(), new Departure(endpoint.startTimeMillis(), nowNanos));
    return known == null || known.startTimeMillis() != endpoint.startTimeMillis();
  }

  /** Returns the incarnations that are known to be leaving from their responses. */
  public ImmutableList<EndpointIncarnation> leavingEndpoints() {
    return leaving.entrySet().stream()
        .map(entry -> new EndpointIncarnation(entry.getKey(), entry.getValue().startTimeMillis()))
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Stores an entry.
   *
   * @return whether the endpoint is new, has restarted, has started to drain, has another number of
   *     slots, or has become cold again; false for a mere heartbeat
   */
  public boolean updateEntry(long nowNanos, RegisteredEndpoint endpoint) {
    if (isInRestoreGrace(nowNanos) && isOutdated(endpoint)) {
      unconfirmed.put(endpoint.id(), endpoint);
      return false;
    }
    unconfirmed.remove(endpoint.id());
    return storeEntry(nowNanos, endpoint);
  }

  private boolean isInRestoreGrace(long nowNanos) {
    return nowNanos - restoredNanos < RESTORE_GRACE_NANOS;
  }

  /** Returns whether the incarnation was removed, or replaced by a later one. */
  private boolean isOutdated(RegisteredEndpoint endpoint) {
    Departure departure = removed.get(endpoint.id());
    Entry known = entries.get(endpoint.id());
    return (departure != null && departure.isOf(endpoint))
        || (known != null && known.endpoint.startTimeMillis() > endpoint.startTimeMillis());
  }

  private boolean storeEntry(long nowNanos, RegisteredEndpoint declared) {
    RegisteredEndpoint endpoint = declared;
    missingSinceNanos.remove(endpoint.id());
    removed.remove(endpoint.id());
    long coldUntilNanos = nowNanos + endpoint.coldRemainingMillis() * NANOS_PER_MILLI;
    Entry known = entries.get(endpoint.id());
    boolean sameIncarnation = known != null && known.endpoint.isSameIncarnationAs(endpoint);
    if (!sameIncarnation) {
      entries.put(endpoint.id(), new Entry(endpoint, coldUntilNanos));
      return true;
    }
    if (mayBeOlder(nowNanos, known) && known.coldUntilNanos - coldUntilNanos > 0) {
      coldUntilNanos = known.coldUntilNanos;
    }
    if (known.endpoint.draining()) {
      endpoint = endpoint.asDraining();
    }
    entries.put(endpoint.id(), new Entry(endpoint, coldUntilNanos, known.responseNanos));
    long lengtheningNanos = coldUntilNanos - Math.max(nowNanos, known.coldUntilNanos);
    return known.endpoint.draining() != endpoint.draining()
        || known.endpoint.slots() != endpoint.slots()
        || lengtheningNanos > REPORTED_LENGTHENING_NANOS;
  }

  /** Returns whether an entry that arrives now may have been written before what is known. */
  private boolean mayBeOlder(long nowNanos, Entry known) {
    return nowNanos - restoredNanos < RECOVERY_NANOS
        || nowNanos - known.responseNanos < ENTRY_LATENCY_NANOS;
  }

  /**
   * Records how much longer an incarnation stays cold, by a response of it.
   *
   * @return whether the incarnation is known
   */
  public boolean recordColdness(
      long nowNanos, EndpointIncarnation incarnation, long coldRemainingMillis) {
    Entry known = entries.get(incarnation.id());
    if (known == null || !EndpointIncarnation.of(known.endpoint).equals(incarnation)) {
      return false;
    }
    long coldUntilNanos = nowNanos + coldRemainingMillis * NANOS_PER_MILLI;
    entries.put(incarnation.id(), new Entry(known.endpoint, coldUntilNanos, nowNanos));
    return true;
  }

  /**
   * Removes an endpoint whose entry is missing or unreadable. While the registry is unavailable or
   * recovering, only marks it as missing, for {@link #onTick}.
   *
   * @return whether the endpoint was removed
   */
  public boolean removeEntry(long nowNanos, EndpointId id) {
    unconfirmed.remove(id);
    if (!entries.containsKey(id)) {
      return false;
    }
    if (isRecovering(nowNanos)) {
      missingSinceNanos.putIfAbsent(id, nowNanos);
      return false;
    }
    remove(nowNanos, id);
    return true;
  }

  private void remove(long nowNanos, EndpointId id) {
    Entry entry = entries.remove(id);
    if (entry != null) {
      removed.put(id, new Departure(entry.endpoint.startTimeMillis(), nowNanos));
    }
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
   * Removes the endpoints that are still missing after the registry's recovery, and believes the
   * entries that a restored registry still has after the grace period.
   *
   * @return whether anything changed
   */
  public boolean onTick(long nowNanos) {
    removed.values().removeIf(departure -> isForgotten(nowNanos, departure));
    leaving.values().removeIf(departure -> isForgotten(nowNanos, departure));
    boolean changed = false;
    if (!isInRestoreGrace(nowNanos) && !unconfirmed.isEmpty()) {
      List<RegisteredEndpoint> confirmed = ImmutableList.copyOf(unconfirmed.values());
      unconfirmed.clear();
      confirmed.forEach(endpoint -> storeEntry(nowNanos, endpoint));
      changed = true;
    }
    if (!isRecovering(nowNanos) && !missingSinceNanos.isEmpty()) {
      missingSinceNanos.keySet().forEach(id -> remove(nowNanos, id));
      missingSinceNanos.clear();
      changed = true;
    }
    return changed;
  }

  private static boolean isForgotten(long nowNanos, Departure departure) {
    return nowNanos - departure.recordedNanos() > DEPARTURE_MEMORY_NANOS;
  }

  /** Returns the endpoints of {@code service} that may receive new requests. */
  public ImmutableList<UsableEndpoint> usableEndpoints(ServiceName service) {
    List<UsableEndpoint> usable = new ArrayList<>();
    for (Entry entry : entries.values()) {
      RegisteredEndpoint endpoint = entry.endpoint;
      if (endpoint.service().equals(service) && isUsable(endpoint)) {
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
    return find(id).filter(this::isUsable).isPresent();
  }

  private boolean isUsable(RegisteredEndpoint endpoint) {
    Departure departure = leaving.get(endpoint.id());
    return !endpoint.draining()
        && (departure == null || !departure.isOf(endpoint))
        && !evacuatedZones.contains(endpoint.zone());
  }

  /** Returns the entry of the endpoint {@code id}. */
  public Optional<RegisteredEndpoint> find(EndpointId id) {
    return Optional.ofNullable(entries.get(id)).map(entry -> entry.endpoint);
  }
}
