package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Base64;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.mustardstage.core.gateway.StorePosition;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberRanks;
import org.mustardstage.core.member.MemberStatus;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.member.Representatives;
import org.mustardstage.entry.gateway.RowStore.StoredRow;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;
import org.mustardstage.entry.peer.PeerMessage;

/**
 * Decides which VMs of a region read the platform's store, and replicates rows between the VMs: the
 * readers send changes to the other VMs of the region, and a VM that can't reach the store requests
 * rows from other VMs.
 */
final class RowReplicator {
  /** How many VMs of a region read the store, so that one of them may fail. */
  private static final int READERS_PER_REGION = 2;

  /**
   * How often rows are requested from peers. Short enough that the peers' rows arrive within the
   * shortest time limit for the departure of an endpoint.
   */
  private static final long PEER_REQUEST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** How many peers are asked at once, as one of them may not reach the store either. */
  private static final int PEERS_PER_REQUEST = 2;

  /**
   * The first and the longest time between two requests for a whole table from VMs whose rows
   * differ. The time doubles while the rows still differ, which VMs that decode rows differently
   * can't help.
   */
  private static final long MIN_REPAIR_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final long MAX_REPAIR_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(60);

  /**
   * A VM that has just started doesn't know the other VMs, so it can't tell whether it is a reader.
   * It waits until the members that it knows have not changed for this long.
   */
  private static final long MEMBER_DISCOVERY_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** How long a VM waits at most for the members that it knows to stay the same. */
  private static final long MAX_MEMBER_DISCOVERY_NANOS = TimeUnit.SECONDS.toNanos(6);

  /** How much later than at other times a VM that has just started misses the readers. */
  private static final long START_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final VmId self;
  private final RegionId region;
  private final ImmutableMap<PlatformAdapter.Table, TableReplica> replicas;
  private final BiConsumer<Member, PeerMessage> sender;
  private final MemberRanks ranks = new MemberRanks();
  private final Map<PlatformAdapter.Table, StorePosition> sentPositions =
      new EnumMap<>(PlatformAdapter.Table.class);
  private final Map<PlatformAdapter.Table, Repair> repairs =
      new EnumMap<>(PlatformAdapter.Table.class);
  private OptionalLong startNanos = OptionalLong.empty();
  private boolean membersKnown;
  private ImmutableList<Member> lastMembers = ImmutableList.of();
  private long membersChangedNanos;
  private long lastPeerRequestNanos = Long.MIN_VALUE / 2;
  private int nextPeer;

  /** When a whole table was last requested because rows differed, and when it may be again. */
  private record Repair(long requestedNanos, long intervalNanos) {
    private static final Repair NONE = new Repair(Long.MIN_VALUE / 2, MIN_REPAIR_INTERVAL_NANOS);
  }

  RowReplicator(
      VmId self,
      RegionId region,
      ImmutableMap<PlatformAdapter.Table, TableReplica> replicas,
      BiConsumer<Member, PeerMessage> sender) {
    this.self = self;
    this.region = region;
    this.replicas = replicas;
    this.sender = sender;
  }

  /**
   * Updates whether this VM is a reader, and requests rows from peers while it can't reach the
   * store.
   */
  void onTick(long nowNanos, MemberView view, boolean leaving) {
    ImmutableList<Member> members = servingMembersInRegion(view);
    boolean reader = leaving || (areMembersKnown(nowNanos, members) && isReader(self, members));
    replicas
        .values()
        .forEach(
            replica -> {
              replica.setReader(nowNanos, reader);
              replica.onTick(nowNanos);
            });
    boolean storeUnreachable =
        replicas.values().stream().anyMatch(replica -> !replica.isStoreReachable());
    if (storeUnreachable && nowNanos - lastPeerRequestNanos >= PEER_REQUEST_INTERVAL_NANOS) {
      lastPeerRequestNanos = nowNanos;
      requestRowsFromPeers(view);
    }
  }

  /** Returns whether this VM has run long enough to know the members of its region. */
  private boolean areMembersKnown(long nowNanos, ImmutableList<Member> members) {
    if (startNanos.isEmpty()) {
      startNanos = OptionalLong.of(nowNanos);
      membersChangedNanos = nowNanos;
      replicas.values().forEach(replica -> replica.recordReaderAlive(nowNanos + START_GRACE_NANOS));
    }
    if (!membersKnown && !members.equals(lastMembers)) {
      lastMembers = members;
      membersChangedNanos = nowNanos;
    }
    membersKnown |=
        nowNanos - membersChangedNanos >= MEMBER_DISCOVERY_NANOS
            || nowNanos - startNanos.getAsLong() >= MAX_MEMBER_DISCOVERY_NANOS;
    return membersKnown;
  }

  private boolean isReader(VmId vm, List<Member> members) {
    return members.stream()
        .filter(member -> member.vm().equals(vm))
        .anyMatch(
            member ->
                Representatives.isAmongFirst(ranks, READERS_PER_REGION, "store", member, members));
  }

  /** Returns the VMs of this region that are alive and not leaving. */
  private ImmutableList<Member> servingMembersInRegion(MemberView view) {
    return view.statuses().stream()
        .filter(MemberStatus::acceptsCallers)
        .map(MemberStatus::member)
        .filter(member -> member.region().equals(region))
        .collect(ImmutableList.toImmutableList());
  }

  private void requestRowsFromPeers(MemberView view) {
    List<Member> peers = view.alive().stream().filter(member -> !member.vm().equals(self)).toList();
    if (peers.isEmpty()) {
      return;
    }
    for (int i = 0; i < PEERS_PER_REQUEST; i++) {
      Member peer = peers.get(Math.floorMod(nextPeer++, peers.size()));
      replicas.keySet().forEach(table -> requestRows(peer, table));
    }
  }

  private void requestRows(Member peer, PlatformAdapter.Table table) {
    StorePosition position = replicas.get(table).position();
    sender.accept(
        peer, new PeerMessage.RowsRequest(table.name(), position.era(), position.version()));
  }

  /**
   * Sends the changes that this VM has read from the store to the VMs of the region that aren't
   * readers. A message without rows tells them that the store has no changes. The position of the
   * other tables is sent too: a VM that has missed their last message would otherwise learn that
   * only with their next change, as it doesn't call the store while it hears from readers.
   */
  void sendChanges(PlatformAdapter.Table table, MemberView view, boolean leaving) {
    ImmutableList<Member> members = servingMembersInRegion(view);
    if (leaving || !isReader(self, members)) {
      return;
    }
    List<Member> receivers =
        members.stream().filter(member -> !isReader(member.vm(), members)).toList();
    replicas.forEach(
        (each, replica) -> {
          if (each == table || (replica.isLoaded() && replica.isStoreReachable())) {
            sendChanges(each, receivers);
          }
        });
  }

  private void sendChanges(PlatformAdapter.Table table, List<Member> receivers) {
    StorePosition position = replicas.get(table).position();
    StorePosition sent = sentPositions.getOrDefault(table, StorePosition.START);
    sentPositions.put(table, position);
    long afterVersion = position.isOfLaterEraThan(sent) ? 0 : sent.version();
    PeerMessage changes = rowsMessage(table, afterVersion, /* current= */ true);
    receivers.forEach(member -> sender.accept(member, changes));
  }

  /** Sends {@code message} to the other VMs of the region that are alive and not leaving. */
  void sendToRegion(MemberView view, PeerMessage message) {
    servingMembersInRegion(view).stream()
        .filter(member -> !member.vm().equals(self))
        .forEach(member -> sender.accept(member, message));
  }

  private PeerMessage rowsMessage(PlatformAdapter.Table table, long afterVersion, boolean current) {
    TableReplica replica = replicas.get(table);
    List<PeerMessage.VersionedRow> rows =
        replica.changedSince(afterVersion).stream()
            .map(
                row ->
                    new PeerMessage.VersionedRow(
                        row.key(),
                        row.version(),
                        row.value().map(Base64.getEncoder()::encodeToString)))
            .toList();
    StorePosition position = replica.position();
    return new PeerMessage.RowsUpdate(
        table.name(),
        position.era(),
        afterVersion,
        position.version(),
        current,
        replica.contentHash(),
        rows);
  }

  /**
   * Sends the rows that a VM requests, if this VM has a newer version of the whole table. A VM of
   * an earlier era gets the whole table.
   */
  void onRowsWanted(Member from, PeerMessage.RowsRequest message) {
    Optional<PlatformAdapter.Table> table = tableNamed(message.table());
    Optional<StorePosition> wanted = position(message.era(), message.afterVersion());
    if (table.isEmpty() || wanted.isEmpty()) {
      logMalformed(from, message);
      return;
    }
    TableReplica replica = replicas.get(table.get());
    if (replica.isLoaded() && replica.position().compareTo(wanted.get()) > 0) {
      boolean wholeTable = replica.position().isOfLaterEraThan(wanted.get());
      long afterVersion = wholeTable ? 0 : wanted.get().version();
      sender.accept(from, rowsMessage(table.get(), afterVersion, /* current= */ false));
    }
  }

  /** Applies the rows that another VM sent; requests the missing ones from it if there is a gap. */
  void onRowsKnown(long nowNanos, Member from, PeerMessage.RowsUpdate message) {
    Optional<PlatformAdapter.Table> table = tableNamed(message.table());
    Optional<StorePosition> position = position(message.era(), message.version());
    Optional<List<StoredRow>> rows = decode(message.rows());
    if (table.isEmpty() || position.isEmpty() || rows.isEmpty()) {
      logMalformed(from, message);
      return;
    }
    if (message.current()) {
      replicas.values().forEach(replica -> replica.recordReaderAlive(nowNanos));
    }
    boolean complete =
        replicas
            .get(table.get())
            .applyPeerRows(
                nowNanos,
                message.afterVersion(),
                new RowStore.Rows(rows.get(), position.get()),
                message.current());
    if (complete) {
      repairIfDifferent(nowNanos, from, message, table.get());
    } else {
      requestRows(from, table.get());
    }
  }

  private static Optional<StorePosition> position(long era, long version) {
    return era < 0 || version < 0 ? Optional.empty() : Optional.of(new StorePosition(era, version));
  }

  /** Returns the decoded rows, or nothing if one of them can't be decoded. */
  private static Optional<List<StoredRow>> decode(List<PeerMessage.VersionedRow> rows) {
    try {
      return Optional.of(
          rows.stream()
              .map(
                  row ->
                      new StoredRow(
                          row.key(), row.version(), row.value().map(Base64.getDecoder()::decode)))
              .toList());
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static void logMalformed(Member from, PeerMessage message) {
    EventLog.log(
        Event.BAD_FRAME,
        "vm",
        from.incarnation(),
        "why",
        "expected a known table, positions that are not negative and values in Base64",
        "message",
        message.getClass().getSimpleName());
  }

  /** Requests the whole table from a VM at the same position whose rows differ. */
  private void repairIfDifferent(
      long nowNanos, Member from, PeerMessage.RowsUpdate message, PlatformAdapter.Table table) {
    TableReplica replica = replicas.get(table);
    if (!replica.position().equals(new StorePosition(message.era(), message.version()))) {
      return;
    }
    if (replica.contentHash() == message.contentHash()) {
      repairs.remove(table);
      return;
    }
    Repair last = repairs.getOrDefault(table, Repair.NONE);
    if (nowNanos - last.requestedNanos() < last.intervalNanos()) {
      return;
    }
    long nextIntervalNanos = Math.min(MAX_REPAIR_INTERVAL_NANOS, 2 * last.intervalNanos());
    repairs.put(table, new Repair(nowNanos, nextIntervalNanos));
    sender.accept(
        from, new PeerMessage.RowsRequest(table.name(), message.era(), /* afterVersion= */ 0));
  }

  private Optional<PlatformAdapter.Table> tableNamed(String name) {
    return replicas.keySet().stream().filter(table -> table.name().equals(name)).findFirst();
  }
}
