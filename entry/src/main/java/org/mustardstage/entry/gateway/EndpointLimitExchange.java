package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.placement.EndpointLimit;
import org.mustardstage.core.placement.EndpointLimits;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;
import org.mustardstage.entry.peer.PeerMessage;

/**
 * Tells the other VMs which limits endpoints have named in responses to this VM, and passes on what
 * they tell. Confined to the control thread.
 */
final class EndpointLimitExchange {
  private final VmId self;
  private final BiConsumer<Member, PeerMessage> sender;
  private final Consumer<List<EndpointLimit>> listener;

  /** For VMs that open a link; the traffic thread's limits can't be read from this thread. */
  private final Map<EndpointId, EndpointLimit> inForce = new HashMap<>();

  EndpointLimitExchange(
      VmId self, BiConsumer<Member, PeerMessage> sender, Consumer<List<EndpointLimit>> listener) {
    this.self = self;
    this.sender = sender;
    this.listener = listener;
  }

  /** Tells the VMs of the region, or of all regions, what an endpoint said in a response. */
  void tell(MemberView view, EndpointLimits.Report report) {
    record(report.limit(), "its response");
    Predicate<Member> hears =
        member -> report.toAllRegions() || member.region().equals(view.self().region());
    PeerMessage message = new PeerMessage.EndpointLimits(ImmutableList.of(report.limit()));
    view.alive().stream()
        .filter(member -> !member.vm().equals(self))
        .filter(hears)
        .forEach(member -> sender.accept(member, message));
  }

  /** Tells a VM that may have just started, or was cut off, which limits are in force. */
  void onHello(Member from) {
    if (!inForce.isEmpty()) {
      sender.accept(from, new PeerMessage.EndpointLimits(ImmutableList.copyOf(inForce.values())));
    }
  }

  /** Passes on what another VM tells. */
  void onMessage(List<EndpointLimit> limits) {
    limits.forEach(limit -> record(limit, "another VM"));
    listener.accept(limits);
  }

  private void record(EndpointLimit limit, String source) {
    EndpointLimit before =
        limit.requestsPerSecond().isPresent()
            ? inForce.put(limit.endpoint().id(), limit)
            : inForce.remove(limit.endpoint().id());
    boolean unchanged = before == null ? limit.requestsPerSecond().isEmpty() : before.equals(limit);
    if (!unchanged) {
      EventLog.log(
          Event.ENDPOINT_LIMIT_CHANGED,
          "endpoint",
          limit.endpoint().id(),
          "requestsPerSecond",
          limit.requestsPerSecond().map(Object::toString).orElse("unlimited"),
          "why",
          source);
    }
  }
}
