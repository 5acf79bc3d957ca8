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
import org.junit.jupiter.api.Test;
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

/** Eight VMs of a region that share a store, in virtual time. */
class RowExchangeTest {
  private static final long MILLI = 1_000_000L;
  private static final RegionId REGION = new RegionId("north");
  private static final PlatformAdapter.Table FEED = PlatformAdapter.Table.ENDPOINTS;

  private final List<Vm> vms = new ArrayList<>();
  private final Set<VmId> silenced = new HashSet<>();
  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private final Map<String, StoredRow> stored = new HashMap<>();
  private long storeVersion = 1;
  private long nowNanos;
  private long sequence;

  private record Task(long atNanos, long sequence, Runnable run) implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final class Vm implements RowStore, RowFollower.Listener {
    private final Member member;
    private final RowFollower follower;
    private final RowExchange exchange;
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
      this.follower =
          new RowFollower(
              this,
              FEED,
              new RowFollower.Pace(500, 500),
              (delayMillis, task) -> after(delayMillis * MILLI, task),
              row -> row.value().map(ByteBuffer::wrap),
              this);
      this.exchange =
          new RowExchange(member.vm(), REGION, ImmutableMap.of(FEED, follower), this::send);
    }

    private void send(Member to, PeerMessage message) {
      if (silenced.contains(member.vm())) {
        return;
      }
      Vm target = vms.stream().filter(vm -> vm.member.equals(to)).findFirst().orElseThrow();
      after(MILLI, () -> target.receive(member, message));
    }

    private void receive(Member from, PeerMessage message) {
      switch (message) {
        case PeerMessage.RowsRequest wanted -> exchange.onWanted(from, wanted);
        case PeerMessage.RowsUpdate known -> exchange.onKnown(nowNanos, from, known);
        default -> throw new IllegalArgumentException("not a message about rows: " + message);
      }
    }

    @Override
    public Promise<Either<PlatformFailure, Rows>> readAll(PlatformAdapter.Table feed) {
      return readChanges(feed, 0, 0);
    }

    @Override
    public Promise<Either<PlatformFailure, Rows>> readChanges(
        PlatformAdapter.Table feed, long afterVersion, long waitMillis) {
      if (silenced.contains(member.vm())) {
        return Promise.of(Either.left(new PlatformFailure.NoAnswer("silenced")));
      }
      calls++;
      List<StoredRow> changed =
          stored.values().stream().filter(row -> row.version() > afterVersion).toList();
      return Promise.of(Either.right(new Rows(changed, storeVersion)));
    }

    @Override
    public void onRows(List<StoredRow> changed, boolean whole) {}

    @Override
    public void onStoreAnswers(boolean answers, Optional<PlatformFailure> failure) {}

    @Override
    public void onRead() {
      exchange.onRead(FEED, view(this), /* leaving= */ false);
    }
  }

  private MemberView view(Vm holder) {
    return new MemberView(
        holder.member,
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
    vm.exchange.onTick(nowNanos, view(vm), /* leaving= */ false);
    after(100 * MILLI, () -> tick(vm));
  }

  private void start() {
    for (int i = 0; i < 8; i++) {
      vms.add(new Vm(i));
    }
    for (Vm vm : vms) {
      vm.follower.start();
      tick(vm);
    }
  }

  private void play(long millis) {
    long untilNanos = nowNanos + millis * MILLI;
    while (tasks.peek().atNanos() <= untilNanos) {
      Task task = tasks.poll();
      nowNanos = task.atNanos();
      task.run().run();
    }
    nowNanos = untilNanos;
  }

  private void write(String key) {
    storeVersion++;
    byte[] value = ("v" + storeVersion).getBytes(StandardCharsets.UTF_8);
    stored.put(key, new StoredRow(key, storeVersion, Optional.of(value)));
  }

  private List<Vm> readersIn(long millis) {
    vms.forEach(vm -> vm.calls = 0);
    play(millis);
    return vms.stream().filter(vm -> vm.calls > 0).toList();
  }

  private List<Long> versions() {
    return vms.stream()
        .filter(vm -> !silenced.contains(vm.member.vm()))
        .map(vm -> vm.follower.version())
        .toList();
  }

  @Test
  void twoVmsReadForAll() {
    start();
    play(3_000);

    assertThat(readersIn(5_000), hasSize(2));
  }

  @Test
  void changeReachesEveryVm() {
    start();
    play(3_000);

    write("a");
    play(700);

    assertThat(versions(), everyItem(is(storeVersion)));
  }

  @Test
  void changeReachesEveryVmInTimeWhenBothReadersFallSilent() {
    start();
    play(3_000);
    readersIn(2_000).forEach(vm -> silenced.add(vm.member.vm()));

    write("a");
    play(2_000);

    assertThat(versions(), everyItem(greaterThanOrEqualTo(storeVersion)));
  }

  @Test
  void vmThatMissedNewsLearnsThemFromTheNext() {
    start();
    play(3_000);
    Vm reader = readersIn(2_000).getFirst();
    silenced.add(reader.member.vm());
    write("a");
    play(600);
    silenced.remove(reader.member.vm());
    write("b");
    play(1_200);

    assertThat(versions(), everyItem(is(storeVersion)));
  }
}
