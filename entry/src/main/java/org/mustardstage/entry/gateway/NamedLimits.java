package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.placement.AttemptResult;
import org.mustardstage.core.placement.EndpointLimit;
import org.mustardstage.core.placement.EndpointLimits;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;

/**
 * Learns the limits that endpoints name, from their responses and from other VMs, and says which
 * are in force. Used on the traffic thread but for {@link #inForce}.
 */
final class NamedLimits {
  private final EndpointLimits limits;
  private Consumer<EndpointLimits.Report> listener = report -> {};
  private volatile ImmutableSet<EndpointLimit> inForce = ImmutableSet.of();

  NamedLimits(EndpointLimits limits) {
    this.limits = limits;
  }

  /** Sets what is told of the limits that endpoints name in responses. */
  void setListener(Consumer<EndpointLimits.Report> newListener) {
    listener = newListener;
  }

  /** Returns the limits in force; may be called on any thread. */
  ImmutableSet<EndpointLimit> inForce() {
    return inForce;
  }

  /** Applies the limits that another VM has heard endpoints name. */
  void applyReports(long nowNanos, List<EndpointLimit> reported) {
    for (EndpointLimit limit : reported) {
      limits.applyReport(nowNanos, limit);
      publish(limit, "another VM");
    }
  }

  /** Applies what an endpoint said, or didn't say, of a limit when an attempt ended. */
  void recordResponse(long nowNanos, RegisteredEndpoint endpoint, AttemptResult result) {
    Optional<EndpointLimits.Report> report =
        limits.recordResponse(
            nowNanos, nowNanos - result.elapsedNanos(), endpoint, result.notice().limit());
    report.ifPresent(
        told -> {
          publish(told.limit(), "its response");
          listener.accept(told);
        });
  }

  private void publish(EndpointLimit latest, String source) {
    ImmutableSet<EndpointLimit> newInForce = limits.inForce();
    if (newInForce.equals(inForce)) {
      return;
    }
    inForce = newInForce;
    EventLog.log(
        Event.ENDPOINT_LIMIT_CHANGED,
        "endpoint",
        latest.endpoint().id(),
        "requestsPerSecond",
        latest.requestsPerSecond().map(Object::toString).orElse("unlimited"),
        "why",
        source);
  }
}
