package org.mustardstage.standins.load;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.standins.endpoint.ResponseBodies;
import org.mustardstage.standins.http.Headers;
import org.mustardstage.standins.http.JsonResponses;
import org.mustardstage.standins.http.StandInServer;
import org.mustardstage.standins.http.TestHttpClient;

/**
 * An entry VM that responds to lookups with a fixed list of entry VMs, and to each request with
 * what a function of its number and token returns.
 */
final class FakeEntryVm {
  private final BiFunction<Integer, String, HttpResponse.Builder> responder;
  private final List<HostAndPort> lookupEntryVms;
  private final StandInServer server;
  final List<String> idempotencyKeys = Collections.synchronizedList(new ArrayList<>());
  private int requests;
  int lookups;

  FakeEntryVm(
      InetSocketAddress address,
      List<HostAndPort> lookupEntryVms,
      BiFunction<Integer, String, HttpResponse.Builder> responder)
      throws IOException {
    this.lookupEntryVms = lookupEntryVms;
    this.responder = responder;
    AsyncServlet servlet = this::serve;
    this.server = StandInServer.start(address, eventloop -> servlet, connections -> false);
  }

  HostAndPort address() {
    return TestHttpClient.hostAndPort(server.address());
  }

  void stop() throws InterruptedException {
    server.stop();
  }

  static HttpResponse.Builder response(String token) {
    return HttpResponse.ok200()
        .withHeader(Headers.OUTCOME, "answered")
        .withBody(ResponseBodies.create(token, 100));
  }

  static HttpResponse.Builder failure(int status, String outcome) {
    return HttpResponse.ofCode(status)
        .withHeader(Headers.OUTCOME, outcome)
        .withHeader(Headers.ERROR, "scripted")
        .withHeader(Headers.RETRY_AFTER_MILLIS, "1");
  }

  private Promise<HttpResponse> serve(HttpRequest request) {
    if (request.getPath().equals("/v1/lookup")) {
      lookups++;
      return JsonResponses.ok(
          Map.of(
              "lifetimeMillis",
              60_000,
              "keyPrefix",
              "vm/1",
              "entryVms",
              lookupEntryVms.stream()
                  .map(vm -> Map.of("address", vm.toString(), "weight", 1))
                  .toList()));
    }
    String key = request.getHeader(Headers.IDEMPOTENCY_KEY);
    if (key != null) {
      idempotencyKeys.add(key);
    }
    return responder.apply(++requests, request.getQueryParameter("token")).toPromise();
  }
}
