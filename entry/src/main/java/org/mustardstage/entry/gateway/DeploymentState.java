package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.mustardstage.core.gateway.GatewayConfig;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.placement.EndpointIncarnation;
import org.mustardstage.core.placement.EndpointRegistry;
import org.mustardstage.core.placement.EvacuatedZones;
import org.mustardstage.core.placement.UsableEndpoint;
import org.mustardstage.entry.gateway.RowStore.StoredRow;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;

/**
 * The deployment as this VM believes it to be: the configuration, the evacuated zones and the
 * endpoints. Applies the rows of the store and what endpoints say in their responses, and publishes
 * changes to a {@link Listener}. Confined to the control thread, except for {@link #config} and
 * {@link #isComplete}.
 */
final class DeploymentState {
  private final PlatformAdapter adapter;
  private final LongSupplier clock;
  private final Listener listener;
  private final EndpointRegistry endpointRegistry = new EndpointRegistry();
  private final EvacuatedZones evacuatedZones = new EvacuatedZones();
  private ImmutableMap<ServiceName, ImmutableList<UsableEndpoint>> publishedEndpoints =
      ImmutableMap.of();
  private final AtomicReference<Optional<GatewayConfig>> config =
      new AtomicReference<>(Optional.empty());
  private volatile boolean endpointsKnown;

  /** Receives the changes of the deployment. */
  interface Listener {
    /** Called when a newer version of the configuration becomes active. */
    void onConfig(GatewayConfig config);

    /** Called when the endpoints that may receive new requests have changed. */
    void onEndpoints(ImmutableMap<ServiceName, ImmutableList<UsableEndpoint>> usable);
  }

  DeploymentState(PlatformAdapter adapter, LongSupplier clock, Listener listener) {
    this.adapter = adapter;
    this.clock = clock;
    this.listener = listener;
  }

  /** Returns the active configuration. */
  Optional<GatewayConfig> config() {
    return config.get();
  }

  /** Returns whether the configuration and the endpoints are known. */
  boolean isComplete() {
    return config.get().isPresent() && endpointsKnown;
  }

  void onTick(long nowNanos) {
    if (endpointRegistry.onTick(nowNanos)) {
      publishEndpoints();
    }
    evacuatedZones.onTick(nowNanos);
    applyEvacuations(nowNanos);
  }

  /** Records whether the store responds with the endpoints' entries. */
  void setRegistryAvailable(boolean available) {
    endpointRegistry.setRegistryAvailable(clock.getAsLong(), available);
  }

  /** Records that the store was restored from an older copy of {@code table}. */
  void onStoreRestored(PlatformAdapter.Table table) {
    switch (table) {
      case OPERATOR -> evacuatedZones.onStoreRestored(clock.getAsLong());
      case ENDPOINTS -> endpointRegistry.onRegistryRestored(clock.getAsLong());
    }
  }

  /**
   * Records that endpoints said in a response that they are leaving; returns those of which this
   * was not known.
   */
  ImmutableList<EndpointIncarnation> markLeaving(List<EndpointIncarnation> endpoints) {
    long nowNanos = clock.getAsLong();
    ImmutableList<EndpointIncarnation> unknown =
        endpoints.stream()
            .filter(endpoint -> endpointRegistry.markLeaving(nowNanos, endpoint))
            .collect(ImmutableList.toImmutableList());
    for (EndpointIncarnation endpoint : unknown) {
      EventLog.log(Event.ENDPOINT_LEAVING, "endpoint", endpoint.id(), "why", "its response");
    }
    if (!unknown.isEmpty()) {
      publishEndpoints();
    }
    return unknown;
  }

  /** Returns the endpoints that are known to be leaving from their responses. */
  ImmutableList<EndpointIncarnation> leavingEndpoints() {
    return endpointRegistry.leavingEndpoints();
  }

  /** Applies changed rows of the operators' table. */
  void applyOperatorRows(List<StoredRow> changed) {
    long nowNanos = clock.getAsLong();
    for (StoredRow row : changed) {
      if (row.value().isEmpty()) {
        evacuatedZones.remove(nowNanos, row.key());
        continue;
      }
      Either<String, PlatformAdapter.OperatorRow> read =
          adapter.readOperatorRow(row.key(), row.value().get());
      if (read.isLeft()) {
        logUnreadable(PlatformAdapter.Table.OPERATOR, row, read.getLeft());
        continue;
      }
      switch (read.get()) {
        case PlatformAdapter.OperatorRow.Config declared -> onConfig(declared.config());
        case PlatformAdapter.OperatorRow.Evacuation evacuation ->
            evacuatedZones.put(row.key(), evacuation.zone());
        case PlatformAdapter.OperatorRow.Other other -> {}
      }
    }
    applyEvacuations(nowNanos);
    publishEndpoints();
  }

  private void applyEvacuations(long nowNanos) {
    ImmutableSet<ZoneId> zones = evacuatedZones.zones();
    if (endpointRegistry.setEvacuatedZones(nowNanos, zones)) {
      EventLog.log(Event.EVACUATIONS_CHANGED, "zones", zones);
      publishEndpoints();
    }
  }

  private void onConfig(GatewayConfig newer) {
    Optional<GatewayConfig> active = config.get();
    if (active.isPresent() && active.get().version().compareTo(newer.version()) >= 0) {
      return;
    }
    config.set(Optional.of(newer));
    listener.onConfig(newer);
    publishEndpoints();
    EventLog.log(
        Event.CONFIG_IN_FORCE,
        "version",
        newer.version(),
        "tenants",
        newer.tenants().tenants().size(),
        "keys",
        newer.tenants().keyCount());
  }

  private void publishEndpoints() {
    ImmutableMap.Builder<ServiceName, ImmutableList<UsableEndpoint>> byService =
        ImmutableMap.builder();
    config
        .get()
        .ifPresent(
            active ->
                active
                    .services()
                    .keySet()
                    .forEach(
                        service ->
                            byService.put(service, endpointRegistry.usableEndpoints(service))));
    ImmutableMap<ServiceName, ImmutableList<UsableEndpoint>> usable = byService.buildOrThrow();
    if (!usable.equals(publishedEndpoints)) {
      publishedEndpoints = usable;
      listener.onEndpoints(usable);
    }
  }

  /** Applies changed rows of the endpoints' table. */
  void applyEndpointRows(List<StoredRow> changed) {
    long nowNanos = clock.getAsLong();
    for (StoredRow row : changed) {
      Either<String, RegisteredEndpoint> read = readEndpoint(row);
      if (read.isLeft()) {
        removeEndpoint(nowNanos, row, read.getLeft());
      } else if (endpointRegistry.updateEntry(nowNanos, read.get()) && endpointsKnown) {
        logEndpoint(read.get(), row.version());
      }
    }
    if (!endpointsKnown) {
      EventLog.log(Event.ENDPOINTS_LOADED, "rows", changed.size());
    }
    endpointsKnown = true;
    publishEndpoints();
  }

  private static void logEndpoint(RegisteredEndpoint endpoint, long rowVersion) {
    EventLog.log(
        endpoint.draining() ? Event.ENDPOINT_LEAVING : Event.ENDPOINT_REGISTERED,
        "endpoint",
        endpoint.id(),
        "service",
        endpoint.service(),
        "address",
        endpoint.address(),
        "zone",
        endpoint.zone(),
        "coldLeftMillis",
        endpoint.coldRemainingMillis(),
        "rowVersion",
        rowVersion);
  }

  /** Returns the decoded registration of an endpoint, or why it can't be decoded. */
  Either<String, RegisteredEndpoint> readEndpoint(StoredRow row) {
    return row.value().isEmpty()
        ? Either.left("the row was removed from the table")
        : adapter.readEndpoint(row.key(), row.value().get());
  }

  /**
   * Returns what tells whether a newer version of a row says anything new of its endpoint. An entry
   * of a cold endpoint does: it says how long it stays cold from when it was written.
   */
  Object contentOfEndpointRow(StoredRow row) {
    Either<String, RegisteredEndpoint> read = readEndpoint(row);
    boolean cold = read.isRight() && read.get().coldRemainingMillis() > 0;
    return cold ? new ColdEntry(read.get(), row.version()) : read;
  }

  private record ColdEntry(RegisteredEndpoint endpoint, long rowVersion) {
    /** Is that of the decoded entry, as VMs of earlier releases compute it. */
    @Override
    public int hashCode() {
      return Either.right(endpoint).hashCode();
    }
  }

  /** Applies how much longer an endpoint stays cold, by a response of it. */
  void recordColdness(EndpointIncarnation endpoint, long coldRemainingMillis) {
    if (endpointRegistry.recordColdness(clock.getAsLong(), endpoint, coldRemainingMillis)) {
      publishEndpoints();
    }
  }

  private void removeEndpoint(long nowNanos, StoredRow row, String reason) {
    EndpointId id;
    try {
      id = new EndpointId(row.key());
    } catch (IllegalArgumentException e) {
      logUnreadable(PlatformAdapter.Table.ENDPOINTS, row, e.getMessage());
      return;
    }
    if (endpointRegistry.removeEntry(nowNanos, id)) {
      EventLog.log(
          Event.ENDPOINT_LEAVING, "endpoint", id, "why", reason, "rowVersion", row.version());
    }
  }

  private static void logUnreadable(PlatformAdapter.Table table, StoredRow row, String reason) {
    EventLog.log(
        Event.ROW_UNREADABLE,
        "table",
        table,
        "key",
        row.key(),
        "version",
        row.version(),
        "why",
        reason);
  }
}
