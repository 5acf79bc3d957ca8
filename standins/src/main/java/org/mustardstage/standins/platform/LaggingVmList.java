package org.mustardstage.standins.platform;

import com.google.common.collect.ImmutableSortedMap;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SortedMap;
import java.util.TreeMap;
import org.mustardstage.schema.generated.PlatformVm;
import org.mustardstage.schema.generated.PlatformVmList;

/** The list of entry VMs, with a history that allows reads with a lag. */
final class LaggingVmList {
  private static final int MAX_SNAPSHOTS = 10_000;

  private final SortedMap<String, PlatformVm> vms = new TreeMap<>();
  private final Deque<Snapshot> snapshots = new ArrayDeque<>();

  void put(PlatformVm vm, long nowMillis) {
    vms.put(vm.getVm(), vm);
    recordSnapshot(nowMillis);
  }

  void remove(String vm, long nowMillis) {
    vms.remove(vm);
    recordSnapshot(nowMillis);
  }

  /** Returns the list as it was {@code lagMillis} before {@code nowMillis}. */
  PlatformVmList list(long nowMillis, long lagMillis) {
    for (Snapshot snapshot : snapshots) {
      if (snapshot.sinceMillis() <= nowMillis - lagMillis) {
        return new PlatformVmList().withVms(snapshot.vms().values().asList());
      }
    }
    return new PlatformVmList();
  }

  private void recordSnapshot(long nowMillis) {
    snapshots.addFirst(new Snapshot(nowMillis, ImmutableSortedMap.copyOfSorted(vms)));
    if (snapshots.size() > MAX_SNAPSHOTS) {
      snapshots.removeLast();
    }
  }

  private record Snapshot(long sinceMillis, ImmutableSortedMap<String, PlatformVm> vms) {}
}
