package org.mustardstage.entry.traffic;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.mustardstage.core.id.CallName;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.Call;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.Objective;
import org.mustardstage.core.manifest.Priority;
import org.mustardstage.core.manifest.Service;
import org.mustardstage.entry.control.Snapshot;

/** A traffic server on a free port, with an HTTP client that sends requests to it. */
final class TestEntryVm implements AutoCloseable {
  static final long DEADLINE_MILLIS = 20_000;

  private static final long WAIT_MILLIS = 40_000;

  private static final List<Call> CALLS =
      List.of(
          call("swatch", "GET", "/swatches", true),
          call("archive", "PUT", "/archive", true),
          call("booking", "POST", "/bookings", false));

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final VmIncarnation self;
  private final HostAndPort address;
  private final TrafficServer server;
  private final List<String> keyPrefixes = new CopyOnWriteArrayList<>();

  TestEntryVm(String vm, TrafficSettings settings, FakeAdmission admission, KeyHomeLocator router)
      throws IOException {
    self = new VmIncarnation(new VmId(vm), 1);
    address = settings.listenAddress();
    Snapshot snapshot =
        new Snapshot(
            self,
            new ZoneId("zone-a"),
            new RegionId("region-a"),
            address,
            new ConfigVersion(1),
            Optional.of(manifest()),
            false);
    LookupHandler lookup =
        (service, callerAddress, prefix) -> {
          keyPrefixes.add(prefix.toString());
          return Either.right("{\"service\":\"desk\"}".getBytes(StandardCharsets.UTF_8));
        };
    server = new TrafficServer(settings, () -> snapshot, admission, lookup, router);
    server.start();
  }

  static TrafficSettings settings() throws IOException {
    return TrafficSettings.defaults(freeAddress());
  }

  static HostAndPort freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new HostAndPort("127.0.0.1", socket.getLocalPort());
    }
  }

  VmIncarnation self() {
    return self;
  }

  HostAndPort address() {
    return address;
  }

  String fetchKeyPrefix() {
    send(request("GET", "/v1/lookup?service=desk", ""));
    return keyPrefixes.get(keyPrefixes.size() - 1);
  }

  void stop() {
    server.stop();
  }

  @Override
  public void close() {
    server.stop();
    http.close();
  }

  HttpResponse<String> sendRead(String path) {
    return send(request("GET", path, "").header("Mustardstage-Service", "desk"));
  }

  HttpResponse<String> sendBooking(String body) {
    return send(booking(body));
  }

  HttpResponse<String> sendBookingWithKey(String key, String body) {
    return send(booking(body).header("Mustardstage-Idempotency-Key", key));
  }

  HttpRequest.Builder booking(String body) {
    return request("POST", "/bookings", body).header("Mustardstage-Service", "desk");
  }

  HttpRequest.Builder request(String method, String path, String body) {
    HttpRequest.BodyPublisher publisher =
        body.isEmpty()
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofString(body);
    return HttpRequest.newBuilder(URI.create("http://" + address + path)).method(method, publisher);
  }

  HttpResponse<String> send(HttpRequest.Builder request) {
    return sendAsync(request).join();
  }

  CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest.Builder request) {
    return http.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
        .orTimeout(WAIT_MILLIS, TimeUnit.MILLISECONDS);
  }

  Socket connect() throws IOException {
    return new Socket(address.host(), address.port());
  }

  /** Sends raw text and returns everything received until the connection is closed. */
  String sendRaw(String text) throws IOException {
    try (Socket socket = connect()) {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = socket.getInputStream();
      return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  private static Manifest manifest() {
    Service desk =
        new Service(
            new ServiceName("desk"), Objective.LATENCY, CALLS, List.<Endpoint>of(), List.of());
    return new Manifest(
        "test", 1_000, List.of(), List.of(), List.of(desk), List.of(), List.of(), List.of());
  }

  private static Call call(String name, String method, String prefix, boolean idempotent) {
    return new Call(
        new CallName(name), method, prefix, idempotent, Priority.INTERACTIVE, DEADLINE_MILLIS);
  }
}
