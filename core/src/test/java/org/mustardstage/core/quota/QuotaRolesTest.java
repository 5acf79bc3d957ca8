package org.mustardstage.core.quota;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberStatus;
import org.mustardstage.core.member.MemberStatus.Liveness;
import org.mustardstage.core.member.MemberView;

class QuotaRolesTest {
  private static final HostAndPort ADDRESS = new HostAndPort("10.0.0.1", 1);
  private static final Member SELF = member("vm-1");
  private static final Member OTHER = member("vm-2");

  private final QuotaRoles roles = new QuotaRoles(SELF.vm());

  private static Member member(String name) {
    return new Member(
        new VmIncarnation(new VmId(name), 1),
        new ZoneId("north-a"),
        new RegionId("north"),
        ADDRESS,
        ADDRESS,
        ADDRESS,
        /* leaving= */ false);
  }

  private void show(long nowNanos, Member other, Liveness liveness) {
    ConfigVersion version = new ConfigVersion(1);
    roles.setMembers(
        nowNanos,
        new MemberView(
            SELF,
            List.of(
                new MemberStatus(SELF, Liveness.ALIVE, false, version),
                new MemberStatus(other, liveness, false, version)),
            ImmutableSet.of()));
  }

  @Test
  void vmOfAnEarlierReleaseHasAShareButHandsOutNothing() {
    show(0, OTHER.withRelease(2), Liveness.ALIVE);

    assertThat(roles.knownVms(0), is(2));
    for (int group = 0; group < QuotaRoles.GROUPS; group++) {
      assertThat(roles.owner(0, group), is(SELF.vm()));
    }
    assertThat(roles.collector(0), is(SELF.vm()));
  }

  @Test
  void vmThatMayOnlyBeCutOffKeepsItsShareForMinutes() {
    show(0, OTHER, Liveness.ALIVE);
    show(1, OTHER, Liveness.DEAD);

    assertThat(roles.knownVms(Duration.ofMinutes(9).toNanos()), is(2));
    show(Duration.ofMinutes(11).toNanos(), OTHER, Liveness.DEAD);
    assertThat(roles.knownVms(Duration.ofMinutes(11).toNanos()), is(1));
  }

  @Test
  void vmThatHasLeftHasNoShare() {
    show(0, OTHER, Liveness.ALIVE);
    show(1, OTHER.asLeaving(), Liveness.DEAD);

    assertThat(roles.knownVms(2), is(1));
  }

  @Test
  void vmThatDoesNotAnswerIsPassedOver() {
    show(0, OTHER, Liveness.ALIVE);
    for (int group = 0; group < QuotaRoles.GROUPS; group++) {
      roles.passOver(0, OTHER.vm());
      assertThat(roles.owner(1, group), is(not(OTHER.vm())));
    }
  }
}
