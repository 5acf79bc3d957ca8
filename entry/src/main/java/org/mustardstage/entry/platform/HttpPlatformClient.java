package org.mustardstage.entry.platform;

import com.google.common.hash.Hashing;
import io.activej.bytebuf.ByteBuf;
import io.activej.dns.DnsClient;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import io.vavr.control.Either;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.mustardstage.core.http.ResponseLimits;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.Member;
import org.mustardstage.entry.http.MalformedResponses.Peers;
import org.mustardstage.entry.http.ResponseInspector;

/**
 * Calls the table service, the object store and the VM list of the platform over HTTP. All methods
 * run on the reactor of the HTTP client.
 */
public final class HttpPlatformClient implements TableService, ObjectStore, VmList {
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int MAX_BODY_BYTES = 64 << 20;
  private static final Duration IDLE_CONNECTION_TIMEOUT = Duration.ofSeconds(10);
  private static final String ZONE_HEADER = "Mustardstage-Zone";

  private final HttpClient client;
  private final HostAndPort address;
  private final ZoneId zone;

  /**
   * Creates a client for the platform at {@code address}, used by a VM in {@code zone}.
   *
   * @param timeout bounds each connect, read and write
   */
  public HttpPlatformClient(
      NioReactor reactor, Duration timeout, HostAndPort address, ZoneId zone) {
    HttpClient.Builder builder =
        HttpClient.builder(reactor, DnsClient.create(reactor, InetAddress.getLoopbackAddress()))
            .withConnectTimeout(timeout)
            .withReadWriteTimeout(timeout)
            .withKeepAliveTimeout(IDLE_CONNECTION_TIMEOUT);
    this.client =
        ResponseInspector.addTo(
                builder, reactor, Peers.PLATFORM, ResponseLimits.withBodyOf(MAX_BODY_BYTES))
            .build();
    this.address = address;
    this.zone = zone;
  }

  /** The HTTP status and body of a response. */
  private static final class Response {
    private final int status;
    private final byte[] body;

    Response(int status, byte[] body) {
      this.status = status;
      this.body = body;
    }

    int status() {
      return status;
    }

    byte[] body() {
      return body;
    }
  }

  @Override
  public Promise<Either<PlatformFailure, Optional<Row>>> read(String key) {
    return send(HttpMethod.GET, "/v1/rows/" + key, Optional.empty())
        .map(result -> result.flatMap(HttpPlatformClient::toOptionalRow));
  }

  private static Either<PlatformFailure, Optional<Row>> toOptionalRow(Response response) {
    if (response.status() == NOT_FOUND) {
      return Either.right(Optional.empty());
    }
    return okBody(response)
        .flatMap(PlatformJson::parse)
        .flatMap(PlatformJson::toRow)
        .map(Optional::of);
  }

  @Override
  public Promise<Either<PlatformFailure, List<Row>>> scan(String prefix) {
    String query = URLEncoder.encode(prefix, StandardCharsets.UTF_8);
    return send(HttpMethod.GET, "/v1/scan?prefix=" + query, Optional.empty())
        .map(
            result ->
                result
                    .flatMap(HttpPlatformClient::okBody)
                    .flatMap(PlatformJson::parse)
                    .flatMap(PlatformJson::toRows));
  }

  @Override
  public Promise<TransactionResult> commit(Transaction transaction) {
    byte[] body = PlatformJson.fromTransaction(transaction);
    return send(HttpMethod.POST, "/v1/transactions", Optional.of(body))
        .map(result -> result.fold(HttpPlatformClient::toResult, HttpPlatformClient::toResult));
  }

  private static TransactionResult toResult(PlatformFailure failure) {
    return switch (failure) {
      case PlatformFailure.Unreachable unreachable ->
          new TransactionResult.Unavailable(unreachable);
      default -> new TransactionResult.OutcomeUnknown(failure);
    };
  }

  private static TransactionResult toResult(Response response) {
    return switch (response.status()) {
      case OK -> new TransactionResult.Committed();
      case CONFLICT -> new TransactionResult.ConditionFailed();
      case SERVICE_UNAVAILABLE ->
          new TransactionResult.Unavailable(new PlatformFailure.Refused(response.status()));
      default ->
          new TransactionResult.OutcomeUnknown(new PlatformFailure.Refused(response.status()));
    };
  }

  @Override
  public Promise<Either<PlatformFailure, String>> put(byte[] content) {
    String hash = hashOf(content);
    return send(HttpMethod.PUT, "/v1/objects/" + hash, Optional.of(content))
        .map(result -> result.flatMap(HttpPlatformClient::okBody).map(body -> hash));
  }

  @Override
  public Promise<Either<PlatformFailure, Optional<byte[]>>> get(String hash) {
    return send(HttpMethod.GET, "/v1/objects/" + hash, Optional.empty())
        .map(result -> result.flatMap(response -> toObject(hash, response)));
  }

  private static Either<PlatformFailure, Optional<byte[]>> toObject(
      String hash, Response response) {
    if (response.status() == NOT_FOUND) {
      return Either.right(Optional.empty());
    }
    return okBody(response).flatMap(body -> checkHash(hash, body)).map(Optional::of);
  }

  private static Either<PlatformFailure, byte[]> checkHash(String hash, byte[] body) {
    String actual = hashOf(body);
    if (!actual.equals(hash)) {
      return Either.left(new PlatformFailure.WrongHash(hash, actual));
    }
    return Either.right(body);
  }

  /** Returns the SHA-256 hash of {@code content} in lower-case hexadecimal. */
  public static String hashOf(byte[] content) {
    return Hashing.sha256().hashBytes(content).toString();
  }

  @Override
  public Promise<Either<PlatformFailure, List<Member>>> read() {
    return send(HttpMethod.GET, "/v1/vms", Optional.empty())
        .map(
            result ->
                result
                    .flatMap(HttpPlatformClient::okBody)
                    .flatMap(PlatformJson::parse)
                    .flatMap(PlatformJson::toMembers));
  }

  @Override
  public Promise<Either<PlatformFailure, Void>> announce(Member self) {
    byte[] body = PlatformJson.fromMember(self);
    return send(HttpMethod.PUT, "/v1/vms/" + self.vm(), Optional.of(body))
        .map(result -> result.flatMap(HttpPlatformClient::okBody).map(response -> null));
  }

  private static Either<PlatformFailure, byte[]> okBody(Response response) {
    if (response.status() / 100 != OK / 100) {
      return Either.left(new PlatformFailure.Refused(response.status()));
    }
    return Either.right(response.body());
  }

  private Promise<Either<PlatformFailure, Response>> send(
      HttpMethod method, String path, Optional<byte[]> body) {
    HttpRequest.Builder request =
        HttpRequest.builder(method, "http://" + address + path)
            .withHeader(HttpHeaders.of(ZONE_HEADER), zone.value());
    body.ifPresent(request::withBody);
    return client
        .request(request.build())
        .then(
            response ->
                response
                    .loadBody(MAX_BODY_BYTES)
                    .map(buf -> new Response(response.getCode(), toArray(buf))))
        .map(Either::<PlatformFailure, Response>right, e -> Either.left(toFailure(e)));
  }

  private static byte[] toArray(ByteBuf buf) {
    return buf.getArray();
  }

  private static PlatformFailure toFailure(Exception exception) {
    String detail = String.valueOf(exception);
    for (Throwable cause = exception; cause != null; cause = cause.getCause()) {
      if (cause instanceof ConnectException) {
        return new PlatformFailure.Unreachable(detail);
      }
    }
    return new PlatformFailure.NoAnswer(detail);
  }
}
