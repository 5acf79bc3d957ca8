package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.activej.eventloop.Eventloop;
import io.vavr.control.Either;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.overload.BufferBudget;
import org.mustardstage.entry.http.MalformedResponse;
import org.mustardstage.entry.http.MalformedResponses.Peers;

/** Guards against health that is read from what is no response. */
@Timeout(60)
class MalformedHealthCheckTest {
  private final Eventloop eventloop = Eventloop.create();
  private EndpointConnectionPool pool;
  private FakeEndpoint endpoint;

  @BeforeEach
  void start() throws Exception {
    endpoint = new FakeEndpoint("i-1");
    pool =
        new EndpointConnectionPool(
            eventloop, GatewayTestBed.HEADER_NAMES, new BufferBudget<>(1 << 20), Peers.ENDPOINTS);
    eventloop.keepAlive(true);
    Thread.ofPlatform().daemon().start(eventloop);
  }

  @AfterEach
  void stop() throws Exception {
    eventloop.submit(pool::closeAll).join();
    eventloop.execute(eventloop::breakEventloop);
    endpoint.close();
  }

  @ParameterizedTest
  @EnumSource
  void malformedHealthIsNoHealthAndEndsTheConnection(MalformedResponse malformed)
      throws InterruptedException {
    endpoint.setHandler(
        (request, socket) ->
            FakeEndpoint.write(socket, malformed.toText("X-Instance-Id: i-1\r\n")));
    HostAndPort address = endpoint.registration().address();
    byte[] check =
        new HealthCheck(endpoint.registration(), "/checked", GatewayTestBed.HEADER_NAMES)
            .encode(1_000);

    Either<ConnectionFailure, EndpointResponse> result =
        eventloop
            .submit(() -> pool.sendHealthCheck(address, check).orElseThrow().response())
            .join();

    assertThat(result, is(Either.left(ConnectionFailure.MALFORMED)));
    while (endpoint.openConnections() > 0) {
      Thread.sleep(5);
    }
  }
}
