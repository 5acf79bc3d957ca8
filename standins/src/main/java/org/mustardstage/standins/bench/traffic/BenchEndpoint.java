package org.mustardstage.standins.bench.traffic;

import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import java.time.Duration;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.HostAndPort;

/** An endpoint that responds to every request at once with a body of fixed size. */
final class BenchEndpoint implements AutoCloseable {
  private static final int RESPONSE_BODY_BYTES = 200;
  private static final int SLOTS = 100_000;
  private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofMinutes(5);

  private final EventLoopThread loop = new EventLoopThread("endpoint");
  private final HostAndPort address;

  BenchEndpoint(HostAndPort address) {
    this.address = address;
    byte[] body = new byte[RESPONSE_BODY_BYTES];
    HttpServer server =
        HttpServer.builder(
                loop.eventloop(),
                request -> HttpResponse.ok200().withBody(body.clone()).toPromise())
            .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
            .withListenAddress(LoopbackAddresses.toSocketAddress(address))
            .build();
    loop.eventloop().submit(server::listen).join();
  }

  Endpoint endpoint() {
    return new Endpoint(new EndpointId("bench"), new ZoneId("bench"), address, SLOTS, SLOTS);
  }

  @Override
  public void close() {
    loop.close();
  }
}
