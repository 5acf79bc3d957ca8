package org.mustardstage.entry.control;

import java.util.Optional;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.Member;
import org.mustardstage.entry.traffic.KeyHomeLocator;

/**
 * Locates the entry VM that stores the outcome of an idempotency key, in the published membership
 * view. Used on traffic threads.
 */
public final class MembershipKeyHomeLocator implements KeyHomeLocator {
  private final ControlThread control;

  /** Creates a locator that reads the membership view published by {@code control}. */
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
