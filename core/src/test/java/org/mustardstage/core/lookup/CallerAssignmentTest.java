package org.mustardstage.core.lookup;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.Member;

/**
 * Checks that the buckets of a region are spread evenly over its VMs and mostly keep their VMs when
 * one is removed. Otherwise single VMs are overloaded, or a change of membership moves most callers
 * at once.
 */
class CallerAssignmentTest {
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 7, 23, 65})
  void firstChoicesAreSpreadEvenly(int vms) {
    CallerAssignment assignment = CallerAssignment.of(members(vms));
    Map<Member, Integer> loads = new HashMap<>();
    for (int start : blockStartsOfAllBuckets()) {
      loads.merge(assignment.vmsFor(start).getFirst(), 1, Integer::sum);
    }
    int maxLoad = (CallerAssignment.BUCKETS + vms - 1) / vms;
    loads.values().forEach(load -> assertThat(load, lessThanOrEqualTo(maxLoad)));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 23})
  void responsesNameDistinctVms(int vms) {
    CallerAssignment assignment = CallerAssignment.of(members(vms));
    int expected = Math.min(vms, CallerAssignment.VMS_PER_RESPONSE);
    for (int start : blockStartsOfAllBuckets()) {
      assertThat(new HashSet<>(assignment.vmsFor(start)), hasSize(expected));
    }
  }

  @Test
  void vmsOfACallerAreDeterministic() {
    List<Member> members = members(9);
    assertThat(
        CallerAssignment.of(members).vmsFor(42), equalTo(CallerAssignment.of(members).vmsFor(42)));
  }

  @Test
  void fewCallersChangeFirstChoiceWhenAVmIsRemoved() {
    List<Member> members = members(20);
    CallerAssignment before = CallerAssignment.of(members);
    CallerAssignment after = CallerAssignment.of(members.subList(0, 19));
    int changed = 0;
    for (int start : blockStartsOfAllBuckets()) {
      boolean isSame = before.vmsFor(start).getFirst().equals(after.vmsFor(start).getFirst());
      changed += isSame ? 0 : 1;
    }
    assertThat(changed, lessThanOrEqualTo(CallerAssignment.BUCKETS / 4));
  }

  private static List<Integer> blockStartsOfAllBuckets() {
    Map<Integer, Integer> starts = new HashMap<>();
    for (int start = 0; starts.size() < CallerAssignment.BUCKETS; start++) {
      starts.putIfAbsent(CallerAssignment.bucketOf(start), start);
    }
    return new ArrayList<>(starts.values());
  }

  private static List<Member> members(int count) {
    return IntStream.range(0, count).mapToObj(CallerAssignmentTest::member).toList();
  }

  private static Member member(int number) {
    HostAndPort address = new HostAndPort("127.0.0.1", 10_000 + number);
    return new Member(
        new VmIncarnation(new VmId("vm-" + number), 1),
        new ZoneId("zone"),
        new RegionId("region"),
        address,
        address,
        address,
        /* leaving= */ false);
  }
}
