package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberStatus;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.member.PeerRelease;

/** Guards against an endpoint that gets nothing as the only VM that may send to it is cut off. */
class CutOffSenderTest {
  private static final int VMS = 6;
  private static final RegionId REGION = new RegionId("north");
  private static final ZoneId ZONE = new ZoneId("north-a");
  private static final HostAndPort ADDRESS = new HostAndPort("10.0.0.1", 80);
  private static final RegisteredEndpoint ENDPOINT =
      new RegisteredEndpoint(
          new EndpointId("i-1"),
          new ServiceName("orders"),
          ADDRESS,
          ZONE,
          9,
          /* draining= */ false,
          0,
          1);

  private final List<EndpointLimits> limitsOfVms = new ArrayList<>();

  private static VmId vm(int index) {
    return new VmId("vm-" + index);
  }

  private static Member member(int index, Optional<Integer> cutOffVm) {
    return new Member(
        new VmIncarnation(vm(index), 1),
        ZONE,
        REGION,
        ADDRESS,
        ADDRESS,
        ADDRESS,
        /* leaving= */ false,
        420,
        cutOffVm.equals(Optional.of(index)),
        PeerRelease.CURRENT);
  }

  private void showMembers(long nowNanos, Optional<Integer> cutOffVm) {
    List<MemberStatus> statuses = new ArrayList<>();
    for (int i = 0; i < VMS; i++) {
      statuses.add(
          new MemberStatus(
              member(i, cutOffVm), MemberStatus.Liveness.ALIVE, false, ConfigVersion.NONE));
    }
    for (int i = 0; i < VMS; i++) {
      limitsOfVms
          .get(i)
          .setMembers(nowNanos, new MemberView(member(i, cutOffVm), statuses, Set.of()));
    }
  }

  private List<Integer> senders(long nowNanos) {
    List<Integer> senders = new ArrayList<>();
    for (int i = 0; i < VMS; i++) {
      if (limitsOfVms.get(i).isOnlySender(nowNanos, ENDPOINT)) {
        senders.add(i);
      }
    }
    return senders;
  }

  @Test
  void anotherVmSendsWhenTheOnlySenderIsCutOffAndItDoesAgainAfterwards() {
    for (int i = 0; i < VMS; i++) {
      limitsOfVms.add(new EndpointLimits(vm(i), zone -> REGION, 0));
    }
    showMembers(0, Optional.empty());
    long nowNanos = TimeUnit.SECONDS.toNanos(20);
    List<Integer> before = senders(nowNanos);
    assertThat(before, hasSize(1));

    showMembers(nowNanos, Optional.of(before.getFirst()));
    assertThat(senders(nowNanos), hasSize(0));
    nowNanos += TimeUnit.SECONDS.toNanos(5);
    List<Integer> during = senders(nowNanos);
    assertThat(during, hasSize(1));
    assertThat(during, is(not(before)));

    showMembers(nowNanos, Optional.empty());
    nowNanos += TimeUnit.SECONDS.toNanos(5);
    assertThat(senders(nowNanos), is(before));
  }
}
