package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.overload.BufferBudget;
import org.mustardstage.core.placement.UsableEndpoint;
import org.mustardstage.entry.http.MalformedResponses.Peers;

/**
 * Guards against results of an earlier incarnation that count for the present one, and requests
 * that end by the errors of others.
 */
class EndpointLinkMonitorTest {
  private final List<Throwable> faults = new ArrayList<>();
  private final Eventloop eventloop =
      Eventloop.builder()
          .withCurrentThread()
          .withFatalErrorHandler((e, context) -> faults.add(e))
          .build();
  private final EndpointLinkMonitor monitor =
      new EndpointLinkMonitor(
          eventloop,
          new EndpointConnectionPool(
              eventloop, GatewayTestBed.HEADER_NAMES, new BufferBudget<>(1 << 20), Peers.ENDPOINTS),
          GatewayTestBed.HEADER_NAMES);

  @BeforeEach
  void registerSecondIncarnations() {
    monitor.setEndpoints(
        ImmutableMap.of(
            GatewayTestBed.ORDERS,
            ImmutableList.of(
                new UsableEndpoint(incarnation("i-1", 2), 0),
                new UsableEndpoint(incarnation("i-2", 2), 0))));
  }

  private static RegisteredEndpoint incarnation(String id, long startTimeMillis) {
    return new RegisteredEndpoint(
        new EndpointId(id),
        GatewayTestBed.ORDERS,
        TestSettings.ADDRESS,
        TestSettings.ZONE,
        /* slots= */ 9,
        /* draining= */ false,
        0,
        startTimeMillis);
  }

  private void failConnections(long startTimeMillis) {
    monitor.recordConnectFailed(incarnation("i-1", startTimeMillis), System.nanoTime());
    monitor.recordConnectFailed(incarnation("i-2", startTimeMillis), System.nanoTime());
  }

  /** The endpoints were starting again when the connections were begun. */
  @Test
  void failedConnectionsToEarlierIncarnationsAreNotSuspicious() {
    failConnections(1);

    assertThat(monitor.isSuspected(), is(false));
  }

  @Test
  void failedConnectionsToPresentIncarnationsAreSuspicious() {
    failConnections(2);

    assertThat(monitor.isSuspected(), is(true));
  }

  /** The response of one request makes the reports of others due. */
  @Test
  void errorInTheReportOfALostAttemptReachesNoOtherRequest() {
    SequenceCheck reports = new SequenceCheck();
    long lostNanos = System.nanoTime();
    monitor.whenNotOwnLinks(lostNanos, () -> reports.runThenFail(() -> {}));
    monitor.whenNotOwnLinks(lostNanos, () -> reports.runThenFail(() -> {}));

    monitor.recordResponse(incarnation("i-1", 2), lostNanos + 1, /* onNewConnection= */ true);
    eventloop.run();

    assertThat(reports.runs(), is(2));
    assertThat(faults, hasSize(2));
  }
}
