package org.mustardstage.entry.traffic;

import com.google.common.primitives.Longs;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.manifest.Call;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.Service;
import org.mustardstage.core.outcome.BadRequest;
import org.mustardstage.core.outcome.IdempotencyKey;
import org.mustardstage.core.outcome.NotRunCause;
import org.mustardstage.core.overload.RejectionReason;

/**
 * The validated head (request line and headers) of a request that is forwarded to an endpoint.
 *
 * @param service the service
 * @param call the kind of call
 * @param key the idempotency key, if any
 * @param deadlineNanos when the caller stops waiting, on the clock of {@link System#nanoTime}
 * @param contentLength the declared length of the body, if any
 */
record RequestHead(
    ServiceName service,
    Call call,
    Optional<IdempotencyKey> key,
    long deadlineNanos,
    OptionalLong contentLength) {
  private static final String CHUNKED = "chunked";

  /** Parses the head of {@code request}, or returns why the request is rejected. */
  static Either<NotRunCause, RequestHead> read(
      HttpRequest request, Optional<Manifest> manifest, long maxBodyBytes) {
    return checkFraming(request, maxBodyBytes)
        .flatMap(contentLength -> read(request, manifest, contentLength));
  }

  /** Returns whether {@code header} of a caller's request is forwarded to the endpoint. */
  static boolean isForwarded(HttpHeader header, boolean decompressed) {
    if (header.equals(HttpHeaders.CONTENT_ENCODING)) {
      return !decompressed;
    }
    return !Headers.isHopByHop(header) && !Headers.isSetByEntry(header);
  }

  private static Either<NotRunCause, RequestHead> read(
      HttpRequest request, Optional<Manifest> manifest, OptionalLong contentLength) {
    if (manifest.isEmpty()) {
      return Either.left(NotRunCause.ofRejection(RejectionReason.NO_MANIFEST));
    }
    return findService(request, manifest.get())
        .flatMap(
            service ->
                findCall(request, service)
                    .flatMap(call -> read(request, service.name(), call, contentLength)));
  }

  private static Either<NotRunCause, RequestHead> read(
      HttpRequest request, ServiceName service, Call call, OptionalLong contentLength) {
    return readKey(request)
        .flatMap(
            key ->
                readDeadline(request, call)
                    .map(
                        deadlineNanos ->
                            new RequestHead(service, call, key, deadlineNanos, contentLength)));
  }

  private static Either<NotRunCause, OptionalLong> checkFraming(
      HttpRequest request, long maxBodyBytes) {
    HttpMethod method = request.getMethod();
    if (method == HttpMethod.HEAD || method == HttpMethod.CONNECT || method == HttpMethod.TRACE) {
      return Either.left(BadRequest.METHOD_NOT_CARRIED);
    }
    String encoding = request.getHeader(HttpHeaders.TRANSFER_ENCODING);
    int contentLengthCount = ContentLengths.count(request);
    boolean unsupportedEncoding = encoding != null && !encoding.trim().equalsIgnoreCase(CHUNKED);
    if (unsupportedEncoding
        || contentLengthCount > 1
        || (contentLengthCount == 1 && encoding != null)) {
      return Either.left(BadRequest.MALFORMED_REQUEST);
    }
    OptionalLong contentLength = ContentLengths.parse(request);
    if (contentLengthCount == 1 && contentLength.isEmpty()) {
      return Either.left(BadRequest.MALFORMED_REQUEST);
    }
    return contentLength.orElse(0) > maxBodyBytes
        ? Either.left(BadRequest.BODY_TOO_LARGE)
        : Either.right(contentLength);
  }

  private static Either<NotRunCause, Service> findService(HttpRequest request, Manifest manifest) {
    String name = request.getHeader(Headers.SERVICE);
    if (name == null) {
      return Either.left(BadRequest.NO_SERVICE);
    }
    return manifest.services().stream()
        .filter(service -> service.name().value().equals(name))
        .findFirst()
        .<Either<NotRunCause, Service>>map(Either::right)
        .orElse(Either.left(NotRunCause.ofRejection(RejectionReason.UNKNOWN_SERVICE)));
  }

  private static Either<NotRunCause, Call> findCall(HttpRequest request, Service service) {
    return service
        .findCall(request.getMethod().name(), request.getPath())
        .<Either<NotRunCause, Call>>map(Either::right)
        .orElse(Either.left(NotRunCause.ofRejection(RejectionReason.UNKNOWN_CALL)));
  }

  private static Either<NotRunCause, Optional<IdempotencyKey>> readKey(HttpRequest request) {
    String text = request.getHeader(Headers.IDEMPOTENCY_KEY);
    if (text == null) {
      return Either.right(Optional.empty());
    }
    return IdempotencyKey.parse(text).<NotRunCause>mapLeft(cause -> cause).map(Optional::of);
  }

  private static Either<NotRunCause, Long> readDeadline(HttpRequest request, Call call) {
    String text = request.getHeader(Headers.DEADLINE_MILLIS);
    Long requestedMillis =
        text == null ? Long.valueOf(call.deadlineMillis()) : Longs.tryParse(text);
    if (requestedMillis == null || requestedMillis <= 0) {
      return Either.left(BadRequest.MALFORMED_DEADLINE);
    }
    long millis = Math.min(requestedMillis, call.deadlineMillis());
    return Either.right(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis));
  }
}
