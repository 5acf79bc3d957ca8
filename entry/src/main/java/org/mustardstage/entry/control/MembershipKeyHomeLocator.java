package org.mustardstage.entry.control;

import java.util.Optional;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.Member;
import org.mustardstage.entry.traffic.KeyHomeLocator;

/** Finds the entry VM that remembers the outcome of an idempotency key. Used on traffic threads. */
public final class MembershipKeyHomeLocator implements KeyHomeLocator {
  private final ControlThread control;

  /** Creates the finder from what {@code control} publishes. */
  public MembershipKeyHomeLocator(ControlThread control) {
    this.control = control;
  }

  @Override
  public Optional<HostAndPort> findTrafficAddress(VmIncarnation home) {
    return control
        .memberView()
        .find(home.vm())
        .filter(member -> member.incarnation().equals(home))
        .map(Member::trafficAddress);
  }
}
