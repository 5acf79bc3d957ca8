package org.mustardstage.standins.load;

import static com.google.common.base.Strings.nullToEmpty;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.primitives.Longs;
import io.activej.dns.IDnsClient;
import io.activej.dns.protocol.DnsQuery;
import io.activej.dns.protocol.DnsResponse;
import io.activej.http.HttpClient;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import java.net.URLEncoder;
import java.time.Duration;
import java.util.Optional;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.schema.JsonMessages;
import org.mustardstage.standins.endpoint.ResponseBodies;
import org.mustardstage.standins.http.Headers;

/** Sends lookups and requests to entry VMs over HTTP. */
final class EntryVmClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration LOOKUP_TIMEOUT = Duration.ofSeconds(1);
  private static final long RESPONSE_GRACE_MILLIS = 1_000;
  private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;
  private static final int OK = 200;
  private static final long DEFAULT_RETRY_AFTER_MILLIS = 20;

  private final HttpClient client;

  EntryVmClient(NioReactor reactor) {
    this.client =
        HttpClient.builder(reactor, new IpAddressResolver())
            .withConnectTimeout(CONNECT_TIMEOUT)
            .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
            .withMaxBodySize(MAX_BODY_BYTES)
            .withInspector(new ConnectFailureInspector())
            .build();
  }

  /**
   * Looks up at {@code entryVm} which entry VMs a caller at {@code callerAddress} should use; empty
   * if the lookup fails.
   */
  Promise<Optional<LookupResponse>> lookup(
      HostAndPort entryVm, ServiceName service, String callerAddress) {
    String url =
        "http://" + entryVm + "/v1/lookup?service=" + service + "&address=" + callerAddress;
    return Promises.timeout(LOOKUP_TIMEOUT, client.request(HttpRequest.get(url).build()))
        .then(response -> response.loadBody().map(body -> parseLookup(response, body.getArray())))
        .then((response, e) -> Promise.of(e == null ? response : Optional.empty()));
  }

  /**
   * Makes one attempt of {@code request} at {@code entryVm}. The attempt times out {@link
   * #RESPONSE_GRACE_MILLIS} after {@code remainingMillis}, the time until the deadline.
   */
  Promise<AttemptResult> send(HostAndPort entryVm, PlannedRequest request, long remainingMillis) {
    HttpRequest httpRequest = toHttp(entryVm, request, remainingMillis);
    Promise<AttemptResult> attempt =
        client
            .request(httpRequest)
            .then(
                response ->
                    response.loadBody().map(body -> classify(request, response, body.getArray())));
    return Promises.timeout(remainingMillis + RESPONSE_GRACE_MILLIS, attempt)
        .then((result, e) -> Promise.of(e == null ? result : failure(httpRequest, e)));
  }

  private static HttpRequest toHttp(
      HostAndPort entryVm, PlannedRequest request, long remainingMillis) {
    String url =
        "http://"
            + entryVm
            + request.call().pathPrefix()
            + "?token="
            + URLEncoder.encode(request.token(), UTF_8);
    HttpRequest.Builder builder =
        HttpRequest.builder(HttpMethod.valueOf(request.call().method()), url)
            .withHeader(Headers.SERVICE, request.service().value())
            .withHeader(Headers.DEADLINE_MILLIS, Long.toString(remainingMillis));
    request.idempotencyKey().ifPresent(key -> builder.withHeader(Headers.IDEMPOTENCY_KEY, key));
    if (request.bodyBytes() > 0) {
      builder.withBody(new byte[request.bodyBytes()]);
    }
    return builder.build();
  }

  private static Optional<LookupResponse> parseLookup(HttpResponse response, byte[] body) {
    return response.getCode() == OK
        ? JsonMessages.readTree(body).toJavaOptional().flatMap(LookupResponse::of)
        : Optional.empty();
  }

  private static AttemptResult classify(
      PlannedRequest request, HttpResponse response, byte[] body) {
    String code = nullToEmpty(response.getHeader(Headers.ERROR));
    return switch (nullToEmpty(response.getHeader(Headers.OUTCOME))) {
      case "answered" ->
          new AttemptResult.Responded(
              response.getCode(), ResponseBodies.matches(body, request.token()));
      case "not-run" -> new AttemptResult.NotRun(code, retryAfterMillis(response));
      case "outcome-unknown" -> new AttemptResult.Unknown(code);
      default -> new AttemptResult.Unknown("no-outcome-" + response.getCode());
    };
  }

  private static long retryAfterMillis(HttpResponse response) {
    String text = nullToEmpty(response.getHeader(Headers.RETRY_AFTER_MILLIS));
    return Optional.ofNullable(Longs.tryParse(text)).orElse(DEFAULT_RETRY_AFTER_MILLIS);
  }

  private static AttemptResult failure(HttpRequest request, Exception e) {
    return ConnectFailureInspector.hasConnectFailed(request)
        ? new AttemptResult.ConnectFailed()
        : new AttemptResult.Unknown("connection-" + e.getClass().getSimpleName());
  }

  /** Parses IP addresses and rejects host names, so that no attempt depends on DNS. */
  private static final class IpAddressResolver implements IDnsClient {
    @Override
    public Promise<DnsResponse> resolve(DnsQuery query) {
      DnsResponse response = IDnsClient.resolveFromQuery(query);
      return response == null
          ? Promise.ofException(
              new IllegalArgumentException("host of the entry VM address is not an IP address"))
          : Promise.of(response);
    }

    @Override
    public void close() {}
  }
}
