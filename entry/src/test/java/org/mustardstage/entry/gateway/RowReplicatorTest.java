package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableMap;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
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
import org.mustardstage.entry.gateway.RowStore.Rows;
import org.mustardstage.entry.gateway.RowStore.StoredRow;
import org.mustardstage.entry.peer.PeerMessage;
import org.mustardstage.entry.platform.PlatformFailure;

/**
 * Runs eight VMs of a region that share a store, in virtual time. Guards against changes of the
 * store that reach some VMs late or never: because the readers fail together, or because a VM
 * misses a message.
 */
class RowReplicatorTest {
  private static final long MILLI = 1_000_000L;
  private static final RegionId REGION = new RegionId("north");
  private static final PlatformAdapter.Table TABLE = PlatformAdapter.Table.ENDPOINTS;

  private final List<Vm> vms = new ArrayList<>();
  private final Set<VmId> disconnected = new HashSet<>();

  /** The VMs that the store doesn't serve, while the other VMs reach them. */
  private final Set<VmId> rejected = new HashSet<>();

  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private final Map<String, StoredRow> stored = new HashMap<>();
  private long storeEra;
  private long storeVersion = 1;

  /** The rows at each earlier version of the store, from which it can be restored. */
  private final List<Map<String, StoredRow>> snapshots = new ArrayList<>();

  private long nowNanos;
  private long sequence;

  private record Task(long atNanos, long sequence, Runnable action) implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final class Vm implements RowStore, TableReplica.Listener {
    private final Member member;
    private final TableReplica replica;
    private final RowReplicator replicator;
    private int calls;

    Vm(int number) {
      HostAndPort address = new HostAndPort("10.0.0.1", 1 + number);
      this.member =
          new Member(
              new VmIncarnation(new VmId("vm-" + number), 1),
              new ZoneId("north-" + (number % 2 == 0 ? "a" : "b")),
              REGION,
              address,
              address,
              address,
              /* leaving= */ false);
      this.replica =
          new TableReplica(
              this,
              TABLE,
              new TableReplica.PollSettings(500, 500),
              (delayMillis, task) -> after(delayMillis * MILLI, task),
              row -> row.value().map(ByteBuffer::wrap),
              this);
      this.replicator =
          new RowReplicator(member.vm(), REGION, ImmutableMap.of(TABLE, replica), this::send);
    }

    private void send(Member to, PeerMessage message) {
      if (disconnected.contains(member.vm())) {
        return;
      }
      Vm receiver = vms.stream().filter(vm -> vm.member.equals(to)).findFirst().orElseThrow();
      after(MILLI, () -> receiver.receive(member, message));
    }

    private void receive(Member from, PeerMessage message) {
      switch (message) {
        case PeerMessage.RowsRequest wanted -> replicator.onRowsWanted(from, wanted);
        case PeerMessage.RowsUpdate known -> replicator.onRowsKnown(nowNanos, from, known);
        default -> throw new IllegalArgumentException("expected a message about rows: " + message);
      }
    }

    @Override
    public Promise<Either<PlatformFailure, Rows>> readAll(PlatformAdapter.Table table) {
      return readRows(0);
    }

    @Override
    public Promise<Either<PlatformFailure, Rows>> readChanges(
        PlatformAdapter.Table table, long afterVersion, long waitMillis) {
      return readRows(afterVersion);
    }

    private Promise<Either<PlatformFailure, Rows>> readRows(long afterVersion) {
      if (disconnected.contains(member.vm()) || rejected.contains(member.vm())) {
        return Promise.of(Either.left(new PlatformFailure.NoAnswer("VM is disconnected")));
      }
      calls++;
      if (afterVersion > storeVersion) {
        return Promise.of(Either.left(new PlatformFailure.HistoryLost()));
      }
      List<StoredRow> changed =
          stored.values().stream().filter(row -> row.version() > afterVersion).toList();
      return Promise.of(Either.right(new Rows(changed, new StorePosition(storeEra, storeVersion))));
    }

    /** Returns the values of the rows that exist in the replica. */
    Map<String, String> values() {
      Map<String, String> values = new HashMap<>();
      replica
          .changedSince(-1)
          .forEach(row -> row.value().ifPresent(v -> values.put(row.key(), text(v))));
      return values;
    }

    @Override
    public void onStoreRestored(StorePosition before, StorePosition now) {}

    @Override
    public void onRowsChanged(List<StoredRow> changed, boolean loaded) {}

    @Override
    public void onStoreReachabilityChanged(boolean reachable, Optional<PlatformFailure> failure) {}

    @Override
    public void onStoreRead() {
      replicator.sendChanges(TABLE, view(this), /* leaving= */ false);
    }
  }

  private MemberView view(Vm observer) {
    return new MemberView(
        observer.member,
        vms.stream()
            .map(
                vm ->
                    new MemberStatus(
                        vm.member, MemberStatus.Liveness.ALIVE, false, new ConfigVersion(1)))
            .toList(),
        Set.of());
  }

  private void after(long delayNanos, Runnable task) {
    tasks.add(new Task(nowNanos + delayNanos, sequence++, task));
  }

  private void tick(Vm vm) {
    if (!vms.contains(vm)) {
      return;
    }
    vm.replicator.onTick(nowNanos, view(vm), /* leaving= */ false);
    after(100 * MILLI, () -> tick(vm));
  }

  private void start() {
    for (int i = 0; i < 8; i++) {
      vms.add(new Vm(i));
    }
    for (Vm vm : vms) {
      vm.replica.start();
      tick(vm);
    }
  }

  private void runFor(long millis) {
    long untilNanos = nowNanos + millis * MILLI;
    while (tasks.peek().atNanos() <= untilNanos) {
      Task task = tasks.poll();
      nowNanos = task.atNanos();
      task.action().run();
    }
    nowNanos = untilNanos;
  }

  private void write(String key) {
    write(key, Optional.of("v" + storeEra + "/" + (storeVersion + 1)));
  }

  private void write(String key, Optional<String> value) {
    snapshots.add(new HashMap<>(stored));
    storeVersion++;
    stored.put(
        key,
        new StoredRow(key, storeVersion, value.map(text -> text.getBytes(StandardCharsets.UTF_8))));
  }

  /** Restores the store from the copy that is {@code versionCount} versions old. */
  private void restoreStore(int versionCount) {
    storeEra++;
    if (versionCount == 0) {
      return;
    }
    int kept = snapshots.size() - versionCount;
    stored.clear();
    stored.putAll(snapshots.get(kept));
    snapshots.subList(kept, snapshots.size()).clear();
    storeVersion -= versionCount;
  }

  private static String text(byte[] value) {
    return new String(value, StandardCharsets.UTF_8);
  }

  private Map<String, String> storedValues() {
    Map<String, String> values = new HashMap<>();
    stored.forEach((key, row) -> row.value().ifPresent(v -> values.put(key, text(v))));
    return values;
  }

  /** Replaces a VM by one that has just started and knows nothing. */
  private void restart(int number) {
    vms.get(number).replica.stop();
    Vm vm = new Vm(number);
    vms.set(number, vm);
    vm.replica.start();
    tick(vm);
  }

  private List<Vm> readersDuring(long millis) {
    vms.forEach(vm -> vm.calls = 0);
    runFor(millis);
    return vms.stream().filter(vm -> vm.calls > 0).toList();
  }

  private List<Long> versions() {
    return vms.stream()
        .filter(vm -> !disconnected.contains(vm.member.vm()))
        .map(vm -> vm.replica.position().version())
        .toList();
  }

  @Test
  void onlyTwoVmsReadTheStore() {
    start();
    runFor(3_000);

    assertThat(readersDuring(5_000), hasSize(2));
  }

  @Test
  void changeReachesEveryVm() {
    start();
    runFor(3_000);

    write("a");
    runFor(700);

    assertThat(versions(), everyItem(is(storeVersion)));
  }

  @Test
  void changeReachesEveryVmInTimeWhenBothReadersFail() {
    start();
    runFor(3_000);
    readersDuring(2_000).forEach(vm -> disconnected.add(vm.member.vm()));

    write("a");
    runFor(2_000);

    assertThat(versions(), everyItem(greaterThanOrEqualTo(storeVersion)));
  }

  @Test
  void vmThatMissedAMessageCatchesUpWithTheNext() {
    start();
    runFor(3_000);
    Vm reader = readersDuring(2_000).getFirst();
    disconnected.add(reader.member.vm());
    write("a");
    runFor(600);
    disconnected.remove(reader.member.vm());
    write("b");
    runFor(1_200);

    assertThat(versions(), everyItem(is(storeVersion)));
  }

  /**
   * Guards against changes that cancel each other out between two reads of a reader: it sees no
   * change, but a VM that learned of the first change by itself must learn of the second.
   */
  @Test
  void changesThatCancelEachOtherOutReachTheVmThatSawTheFirst() {
    start();
    runFor(3_000);
    write("a", Optional.of("before"));
    runFor(2_000);
    List<Vm> readers = readersDuring(2_000);
    Vm other = vms.stream().filter(vm -> !readers.contains(vm)).findFirst().orElseThrow();
    write("a", Optional.of("between"));
    other.replica.applyPeerRows(
        nowNanos,
        storeVersion - 1,
        new Rows(List.of(stored.get("a")), new StorePosition(storeEra, storeVersion)),
        /* current= */ false);
    write("a", Optional.of("before"));
    runFor(3_000);

    assertThat(other.values(), is(storedValues()));
  }

  /** Guards against versions of a lost history that hide the changes of the restored store. */
  @Test
  void restoredStoreReachesEveryVm() {
    start();
    runFor(3_000);
    for (int i = 0; i < 40; i++) {
      write("a" + i);
    }
    runFor(2_000);
    restoreStore(30);
    write("b");
    runFor(3_000);

    for (Vm vm : vms) {
      assertThat(vm.values(), is(storedValues()));
    }
  }

  /**
   * Restores the store at random moments while VMs write, restart, lose each other or are rejected
   * by the store. Guards against VMs that mix the rows of two eras.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void allVmsEndWithTheRowsOfTheStore(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    start();
    runFor(1_000);
    for (int step = 0; step < 60; step++) {
      takeRandomStep(random);
      runFor(random.nextInt(400));
    }
    disconnected.clear();
    int stillRejected = random.nextInt(vms.size());
    rejected.removeIf(vm -> !vm.equals(vms.get(stillRejected).member.vm()));
    runFor(6_000);

    for (Vm vm : vms) {
      assertThat("seed " + seed + ", " + vm.member.vm(), vm.values(), is(storedValues()));
    }
  }

  private void takeRandomStep(SplittableRandom random) {
    Vm vm = vms.get(random.nextInt(vms.size()));
    switch (random.nextInt(8)) {
      case 0 -> restoreStore(random.nextInt(Math.min(snapshots.size(), 15) + 1));
      case 1 -> toggle(disconnected, vm);
      case 2 -> toggle(rejected, vm);
      case 3 -> restart(vms.indexOf(vm));
      case 4 -> write("row-" + random.nextInt(6), Optional.empty());
      default -> write("row-" + random.nextInt(6));
    }
  }

  private static void toggle(Set<VmId> set, Vm vm) {
    if (!set.remove(vm.member.vm())) {
      set.add(vm.member.vm());
    }
  }

  private static LongStream seeds() {
    return LongStream.range(0, 300);
  }
}
