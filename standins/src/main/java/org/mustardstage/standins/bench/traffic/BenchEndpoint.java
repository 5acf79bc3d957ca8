package org.mustardstage.standins.bench.traffic;

import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import java.time.Duration;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.HostAndPort;

/** An endpoint that answers every request at once. */
final class BenchEndpoint implements AutoCloseable {
  private static final int ANSWER_BYTES = 200;
  private static final int SLOTS = 100_000;
  private static final Duration KEEP_ALIVE = Duration.ofMinutes(5);

  private final LoopThread loop = new LoopThread("endpoint");
  private final HostAndPort address;

  BenchEndpoint(HostAndPort address) {
    this.address = address;
    byte[] body = new byte[ANSWER_BYTES];
    HttpServer server =
        HttpServer.builder(
                loop.reactor(), request -> HttpResponse.ok200().withBody(body.clone()).toPromise())
            .withKeepAliveTimeout(KEEP_ALIVE)
            .withListenAddress(Addresses.toSocketAddress(address))
            .build();
    loop.reactor().submit(server::listen).join();
  }

  Endpoint endpoint() {
    return new Endpoint(new EndpointId("bench"), new ZoneId("bench"), address, SLOTS, SLOTS);
  }

  @Override
  public void close() {
    loop.close();
  }
}
