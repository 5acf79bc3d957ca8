package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.gateway.GatewayConfig;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.gateway.StorePosition;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.placement.UsableEndpoint;
import org.mustardstage.entry.gateway.RowStore.Rows;
import org.mustardstage.entry.gateway.RowStore.StoredRow;
import org.mustardstage.entry.platform.PlatformFailure;

/** Guards against entries of cold endpoints that are taken for mere heartbeats. */
class ColdEntryTest {
  private final DeploymentState deployment =
      new DeploymentState(new EntryAdapter(), System::nanoTime, new IgnoringListener());

  private final List<Long> changedVersions = new ArrayList<>();

  /** Reads rows that hold the remaining cold time only. */
  private static final class EntryAdapter extends GatewayTestBed.FakeAdapter {
    @Override
    public Either<String, RegisteredEndpoint> readEndpoint(String key, byte[] value) {
      return Either.right(
          new RegisteredEndpoint(
              new EndpointId(key),
              GatewayTestBed.ORDERS,
              TestSettings.ADDRESS,
              TestSettings.ZONE,
              /* slots= */ 9,
              /* draining= */ false,
              Long.parseLong(new String(value, StandardCharsets.UTF_8)),
              1));
    }
  }

  private static final class IgnoringListener implements DeploymentState.Listener {
    @Override
    public void onConfig(GatewayConfig config) {}

    @Override
    public void onEndpoints(ImmutableMap<ServiceName, ImmutableList<UsableEndpoint>> usable) {}
  }

  private final class RecordingListener implements TableReplica.Listener {
    @Override
    public void onRowsChanged(List<StoredRow> changed, boolean loaded) {
      changed.forEach(row -> changedVersions.add(row.version()));
    }

    @Override
    public void onStoreRestored(StorePosition before, StorePosition now) {}

    @Override
    public void onStoreReachabilityChanged(boolean reachable, Optional<PlatformFailure> failure) {}

    @Override
    public void onStoreRead() {}
  }

  private static Rows rows(long version) {
    byte[] value = "3000".getBytes(StandardCharsets.UTF_8);
    return new Rows(
        List.of(new StoredRow("i-1", version, Optional.of(value))), new StorePosition(0, version));
  }

  private Object contentOf(long version, long coldRemainingMillis) {
    byte[] value = Long.toString(coldRemainingMillis).getBytes(StandardCharsets.UTF_8);
    return deployment.contentOfEndpointRow(new StoredRow("i-1", version, Optional.of(value)));
  }

  /** An endpoint that is cold again as soon as it was said to be writes the same entry again. */
  @Test
  void sameRemainingTimeInALaterRowIsNews() {
    assertThat(contentOf(2, 3_000), is(not(contentOf(1, 3_000))));
    assertThat(contentOf(1, 3_000), is(contentOf(1, 3_000)));
  }

  @Test
  void heartbeatOfAWarmEndpointIsNoNews() {
    assertThat(contentOf(2, 0), is(contentOf(1, 0)));
  }

  /** VMs of earlier releases compare hashes of what they decoded. */
  @Test
  void hashIsThatOfTheDecodedEntry() {
    byte[] value = "3000".getBytes(StandardCharsets.UTF_8);
    StoredRow row = new StoredRow("i-1", 7, Optional.of(value));

    assertThat(contentOf(7, 3_000).hashCode(), is(deployment.readEndpoint(row).hashCode()));
  }

  /** A VM that doesn't read the store must hear of each statement, and tell it to others. */
  @Test
  void sameRemainingTimeInALaterRowOfAPeerIsAppliedAndPassedOn() {
    TableReplica replica =
        new TableReplica(
            new TableReplicaTest.FakeStore(),
            PlatformAdapter.Table.ENDPOINTS,
            new TableReplica.PollSettings(1_000, 100),
            (delayMillis, task) -> {},
            deployment::contentOfEndpointRow,
            new RecordingListener());
    replica.applyPeerRows(0, 0, rows(1), /* current= */ true);
    replica.applyPeerRows(0, 1, rows(2), /* current= */ true);

    assertThat(changedVersions, contains(1L, 2L));
    assertThat(replica.changedSince(1), hasSize(1));
  }
}
