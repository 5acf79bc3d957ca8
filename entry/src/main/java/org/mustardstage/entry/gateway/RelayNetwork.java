package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableSet;
import io.activej.reactor.nio.NioReactor;
import java.net.InetAddress;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.placement.RelaySelector;

/**
 * What the relayed requests of one traffic thread share: the choice among the other VMs, and the
 * connections to them. Used on the traffic thread only.
 */
final class RelayNetwork {
  private final NioReactor reactor;
  private final EndpointConnectionPool connections;
  private final RelaySelector selector;
  private final HeaderNames headerNames;
  private ImmutableSet<String> vmHosts = ImmutableSet.of();

  RelayNetwork(
      NioReactor reactor,
      EndpointConnectionPool connections,
      RelaySelector selector,
      HeaderNames headerNames) {
    this.reactor = reactor;
    this.connections = connections;
    this.selector = selector;
    this.headerNames = headerNames;
  }

  NioReactor reactor() {
    return reactor;
  }

  EndpointConnectionPool connections() {
    return connections;
  }

  RelaySelector selector() {
    return selector;
  }

  HeaderNames headerNames() {
    return headerNames;
  }

  /** Replaces the view of the VMs. */
  void setMembers(MemberView view) {
    selector.setMembers(view);
    vmHosts =
        view.alive().stream()
            .map(member -> member.trafficAddress().host())
            .collect(ImmutableSet.toImmutableSet());
  }

  /** Returns whether a VM has {@code address}, so that it may relay requests to this one. */
  boolean isVm(InetAddress address) {
    return vmHosts.contains(address.getHostAddress());
  }
}
