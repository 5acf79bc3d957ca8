package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableMap;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.gateway.StorePosition;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.Member;
import org.mustardstage.entry.peer.PeerMessage;
import org.mustardstage.entry.platform.PlatformFailure;

/** Guards against a message of another VM that stops this one or spoils its rows. */
class MalformedPeerMessagesTest {
  private static final PlatformAdapter.Table TABLE = PlatformAdapter.Table.ENDPOINTS;
  private static final HostAndPort ADDRESS = new HostAndPort("10.0.0.2", 1);
  private static final Member OTHER =
      new Member(
          new VmIncarnation(new VmId("vm-2"), 1),
          new ZoneId("north-a"),
          new RegionId("north"),
          ADDRESS,
          ADDRESS,
          ADDRESS,
          /* leaving= */ false);

  private final List<PeerMessage> sent = new ArrayList<>();
  private final TableReplica replica =
      new TableReplica(
          new UnreachableStore(),
          TABLE,
          new TableReplica.PollSettings(500, 500),
          (delayMillis, task) -> {},
          row -> row.value().map(String::new),
          new IgnoringListener());
  private final RowReplicator replicator =
      new RowReplicator(
          new VmId("vm-1"),
          new RegionId("north"),
          ImmutableMap.of(TABLE, replica),
          (to, message) -> sent.add(message));

  private static PeerMessage.RowsUpdate update(String table, long version, String value) {
    return new PeerMessage.RowsUpdate(
        table,
        0,
        0,
        version,
        true,
        0,
        List.of(new PeerMessage.VersionedRow("i-1", version, Optional.of(value))));
  }

  @Test
  void valueThatIsNotBase64IsRejectedWhole() {
    replicator.onRowsKnown(0, OTHER, update(TABLE.name(), 5, "%%%"));

    assertThat(replica.position(), is(StorePosition.START));
  }

  @Test
  void negativePositionIsRejected() {
    replicator.onRowsKnown(0, OTHER, update(TABLE.name(), -5, "AAE="));
    replicator.onRowsWanted(OTHER, new PeerMessage.RowsRequest(TABLE.name(), -1, -1));

    assertThat(replica.position(), is(StorePosition.START));
    assertThat(sent.isEmpty(), is(true));
  }

  @Test
  void unknownTableIsRejected() {
    replicator.onRowsKnown(0, OTHER, update("NOBODY", 5, "AAE="));

    assertThat(replica.position(), is(StorePosition.START));
  }

  private static final class UnreachableStore implements RowStore {
    @Override
    public Promise<Either<PlatformFailure, Rows>> readAll(PlatformAdapter.Table table) {
      return Promise.of(Either.left(new PlatformFailure.NoAnswer("not used")));
    }

    @Override
    public Promise<Either<PlatformFailure, Rows>> readChanges(
        PlatformAdapter.Table table, long afterVersion, long waitMillis) {
      return readAll(table);
    }
  }

  private static final class IgnoringListener implements TableReplica.Listener {
    @Override
    public void onStoreRestored(StorePosition before, StorePosition now) {}

    @Override
    public void onRowsChanged(List<RowStore.StoredRow> changed, boolean loaded) {}

    @Override
    public void onStoreReachabilityChanged(boolean reachable, Optional<PlatformFailure> failure) {}

    @Override
    public void onStoreRead() {}
  }
}
