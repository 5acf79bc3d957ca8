package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.google.common.collect.ImmutableMap;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.gateway.StorePosition;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberStatus;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.member.Representatives;
import org.mustardstage.entry.peer.PeerMessage;
import org.mustardstage.entry.platform.PlatformFailure;

/**
 * Counts the calls of one VM to the store. Guards against VMs that call it although the readers of
 * their region do: hundreds of them cost more than everything else that is read.
 */
class StoreCallsTest {
  private static final long MILLI = 1_000_000L;
  private static final RegionId REGION = new RegionId("north");

  private final Map<PlatformAdapter.Table, CountingStore> stores =
      new EnumMap<>(PlatformAdapter.Table.class);
  private final Map<PlatformAdapter.Table, TableReplica> replicas =
      new EnumMap<>(PlatformAdapter.Table.class);
  private final List<Runnable> dueTasks = new ArrayList<>();
  private final List<Member> members = new ArrayList<>();
  private RowReplicator replicator;
  private Member reader;
  private long nowNanos;

  @BeforeEach
  void start() {
    for (int i = 0; i < 20; i++) {
      HostAndPort address = new HostAndPort("10.0.0.1", 1 + i);
      members.add(
          new Member(
              new VmIncarnation(new VmId("vm-" + i), 1),
              new ZoneId("north-a"),
              REGION,
              address,
              address,
              address,
              /* leaving= */ false));
    }
    reader =
        members.stream()
            .filter(member -> Representatives.isAmongFirst(2, "store", member, members))
            .findFirst()
            .orElseThrow();
    Member other =
        members.stream()
            .filter(member -> !Representatives.isAmongFirst(2, "store", member, members))
            .findFirst()
            .orElseThrow();
    for (PlatformAdapter.Table table : PlatformAdapter.Table.values()) {
      CountingStore store = new CountingStore();
      stores.put(table, store);
      replicas.put(
          table,
          new TableReplica(
              store,
              table,
              new TableReplica.PollSettings(4_000, 50),
              (delayMillis, task) -> dueTasks.add(task),
              row -> row.value().map(String::new),
              new IgnoringListener()));
    }
    replicator =
        new RowReplicator(other.vm(), REGION, ImmutableMap.copyOf(replicas), (to, message) -> {});
    replicas.values().forEach(TableReplica::start);
  }

  private MemberView view(List<Member> known) {
    return new MemberView(
        known.getFirst(),
        known.stream()
            .map(
                member ->
                    new MemberStatus(
                        member, MemberStatus.Liveness.ALIVE, false, new ConfigVersion(1)))
            .toList(),
        Set.of());
  }

  private void tick(List<Member> known) {
    nowNanos += 100 * MILLI;
    replicator.onTick(nowNanos, view(known), /* leaving= */ false);
    List<Runnable> due = List.copyOf(dueTasks);
    dueTasks.clear();
    due.forEach(Runnable::run);
  }

  /** The readers wait up to 4 s for a change by operators, and then say nothing about it. */
  @Test
  void readersThatReadOneTableFollowTheOtherToo() {
    for (int i = 0; i < 300; i++) {
      tick(members);
      if (i % 10 == 0) {
        replicator.onRowsKnown(
            nowNanos, reader, new PeerMessage.RowsUpdate("ENDPOINTS", 0, 1, 1, true, 0, List.of()));
      }
    }

    assertThat(stores.get(PlatformAdapter.Table.OPERATOR).calls, is(1));
    assertThat(stores.get(PlatformAdapter.Table.ENDPOINTS).calls, is(1));
  }

  /** All VMs start together and discover one another, one each 150 ms. */
  @Test
  void vmThatDoesNotKnowTheOthersYetReadsOnlyOnce() {
    Member self = members.stream().filter(m -> !m.equals(reader)).findFirst().orElseThrow();
    List<Member> known = new ArrayList<>(List.of(self));
    for (int i = 0; i < 29; i++) {
      if (i % 2 == 0 && known.size() < members.size()) {
        known.add(members.get(known.size()));
      }
      tick(known);
    }

    assertThat(stores.get(PlatformAdapter.Table.ENDPOINTS).calls, is(lessThanOrEqualTo(1)));
  }

  /**
   * Found by hunt-d39d-7 of ren-dat-cho: a VM that missed one message of the operators' table heard
   * from the readers about endpoints, and took a configuration more than 3 s late.
   */
  @Test
  void readerTellsThePositionOfTheOtherTableToo() {
    List<PeerMessage> sent = new ArrayList<>();
    RowReplicator ofReader =
        new RowReplicator(
            reader.vm(), REGION, ImmutableMap.copyOf(replicas), (to, message) -> sent.add(message));

    ofReader.sendChanges(PlatformAdapter.Table.ENDPOINTS, view(members), /* leaving= */ false);

    assertThat(
        sent.stream()
            .filter(m -> m instanceof PeerMessage.RowsUpdate u && u.table().equals("OPERATOR"))
            .count(),
        is((long) members.size() - 2));
  }

  @Test
  void vmWithoutReadersCallsTheStoreItself() {
    for (int i = 0; i < 40; i++) {
      tick(members);
    }

    assertThat(stores.get(PlatformAdapter.Table.OPERATOR).calls, is(2));
  }

  /** Responds to the first read at once, and to no other. */
  private static final class CountingStore implements RowStore {
    private int calls;

    @Override
    public Promise<Either<PlatformFailure, Rows>> readAll(PlatformAdapter.Table table) {
      calls++;
      return Promise.of(Either.right(new Rows(List.of(), new StorePosition(0, 1))));
    }

    @Override
    public Promise<Either<PlatformFailure, Rows>> readChanges(
        PlatformAdapter.Table table, long afterVersion, long waitMillis) {
      calls++;
      return new SettablePromise<>();
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
