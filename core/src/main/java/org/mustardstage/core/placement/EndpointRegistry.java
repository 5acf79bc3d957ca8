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
 * Which endpoints may be sent new work, by the platform's register and the evacuations in force.
 *
 * <p>Answers the load in which the register itself fails: entries that lapse while the register is
 * away come back with their endpoints soon after it does. An endpoint whose entry is missing then
 * stays in use until the time for that has passed; in quiet times a missing entry counts at once.
 */
public final class EndpointRegistry {
  /** How long after the register's return a lapsed entry may still be missing. */
  private static final long RETURN_NANOS = 2_200_000_000L;

  /** How long an endpoint counts as cold after an evacuation, until its own entry says so. */
  private static final long COLD_AFTER_EVACUATION_NANOS = 3_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Map<EndpointId, Entry> entries = new HashMap<>();
  private final Map<EndpointId, Long> missingSinceNanos = new HashMap<>();
  private final Set<ZoneId> evacuated = new HashSet<>();
  private final Map<ZoneId, Long> releasedNanos = new HashMap<>();
  private boolean registerAnswers = true;
  private long backNanos = Long.MIN_VALUE / 2;

  private static final class Entry {
    private final RegisteredEndpoint endpoint;
    private final long coldUntilNanos;

    Entry(RegisteredEndpoint endpoint, long coldUntilNanos) {
      this.endpoint = endpoint;
      this.coldUntilNanos = coldUntilNanos;
    }
  }

  /** Notes whether the register answers. */
  public void setRegistryAvailable(long nowNanos, boolean answers) {
    if (answers && !registerAnswers) {
      backNanos = nowNanos;
    }
    registerAnswers = answers;
  }

  /** Takes in an entry; returns whether it says more than that the endpoint is still there. */
  public boolean updateEntry(long nowNanos, RegisteredEndpoint endpoint) {
    missingSinceNanos.remove(endpoint.id());
    long coldUntilNanos = nowNanos + endpoint.coldRemainingMillis() * NANOS_PER_MILLI;
    Entry known = entries.get(endpoint.id());
    boolean sameRun = known != null && known.endpoint.isSameIncarnationAs(endpoint);
    if (sameRun && endpoint.coldRemainingMillis() > 0 && known.coldUntilNanos - nowNanos > 0) {
      coldUntilNanos = Math.min(coldUntilNanos, known.coldUntilNanos);
    }
    entries.put(endpoint.id(), new Entry(endpoint, coldUntilNanos));
    return !sameRun || known.endpoint.draining() != endpoint.draining();
  }

  /** Takes in that an entry is gone or can't be read; returns whether that ends its use now. */
  public boolean removeEntry(long nowNanos, EndpointId id) {
    if (!entries.containsKey(id)) {
      return false;
    }
    if (isReturning(nowNanos)) {
      missingSinceNanos.putIfAbsent(id, nowNanos);
      return false;
    }
    entries.remove(id);
    return true;
  }

  private boolean isReturning(long nowNanos) {
    return !registerAnswers || nowNanos - backNanos < RETURN_NANOS;
  }

  /** Takes in the zones that are evacuated now; returns whether they are others than before. */
  public boolean setEvacuatedZones(long nowNanos, Set<ZoneId> zones) {
    if (evacuated.equals(zones)) {
      return false;
    }
    for (ZoneId zone : evacuated) {
      if (!zones.contains(zone)) {
        releasedNanos.put(zone, nowNanos);
      }
    }
    evacuated.clear();
    evacuated.addAll(zones);
    return true;
  }

  /** Removes the entries that stayed missing; returns whether any did. */
  public boolean removeMissingEntries(long nowNanos) {
    if (isReturning(nowNanos) || missingSinceNanos.isEmpty()) {
      return false;
    }
    missingSinceNanos.keySet().forEach(entries::remove);
    missingSinceNanos.clear();
    return true;
  }

  /** Returns the endpoints of {@code service} that may be sent new work. */
  public ImmutableList<UsableEndpoint> usableEndpoints(ServiceName service) {
    List<UsableEndpoint> usable = new ArrayList<>();
    for (Entry entry : entries.values()) {
      RegisteredEndpoint endpoint = entry.endpoint;
      if (endpoint.service().equals(service)
          && !endpoint.draining()
          && !evacuated.contains(endpoint.zone())) {
        usable.add(new UsableEndpoint(endpoint, coldUntilNanos(entry)));
      }
    }
    return ImmutableList.copyOf(usable);
  }

  private long coldUntilNanos(Entry entry) {
    Long released = releasedNanos.get(entry.endpoint.zone());
    if (released == null) {
      return entry.coldUntilNanos;
    }
    return Math.max(entry.coldUntilNanos, released + COLD_AFTER_EVACUATION_NANOS);
  }

  /** Returns whether work may still be sent to {@code id}. */
  public boolean isUsable(EndpointId id) {
    return find(id)
        .filter(endpoint -> !endpoint.draining() && !evacuated.contains(endpoint.zone()))
        .isPresent();
  }

  /** Returns the entry of {@code id}. */
  public Optional<RegisteredEndpoint> find(EndpointId id) {
    return Optional.ofNullable(entries.get(id)).map(entry -> entry.endpoint);
  }
}
