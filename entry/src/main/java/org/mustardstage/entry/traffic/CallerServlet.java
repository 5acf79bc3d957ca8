package org.mustardstage.entry.traffic;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.vavr.control.Either;
import java.util.OptionalLong;
import org.mustardstage.core.outcome.BadRequest;
import org.mustardstage.core.outcome.IdempotencyKey;
import org.mustardstage.core.outcome.NotRunCause;
import org.mustardstage.core.overload.RejectionReason;

/**
 * Handles callers' requests: responds to lookups directly and forwards all other requests to
 * endpoints.
 */
final class CallerServlet implements AsyncServlet {
  private static final String LOOKUP_PATH = "/v1/lookup";

  private final TrafficThread thread;
  private final LookupServlet lookups;
  private final KeyedRequestHandler keyedRequests;

  CallerServlet(TrafficThread thread, LookupServlet lookups, KeyedRequestHandler keyedRequests) {
    this.thread = thread;
    this.lookups = lookups;
    this.keyedRequests = keyedRequests;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request) {
    CallerConnection connection = CallerConnections.of(request);
    if (connection.closesAfterResponse()) {
      // Never completed, as the connection is about to close.
      return new SettablePromise<>();
    }
    if (thread.isStopping()) {
      connection.closeAfterResponse();
      return reject(request, connection, NotRunCause.ofRejection(RejectionReason.STOPPING));
    }
    if (isLookup(request)) {
      return Promise.of(lookups.serve(request));
    }
    Either<NotRunCause, RequestHead> head =
        RequestHead.read(request, thread.snapshot().manifest(), thread.settings().maxBodyBytes());
    return head.fold(
        cause -> reject(request, connection, cause),
        parsed -> forward(request, connection, parsed));
  }

  private static boolean isLookup(HttpRequest request) {
    return request.getPath().startsWith(LOOKUP_PATH) && !request.hasHeader(Headers.SERVICE);
  }

  private Promise<HttpResponse> reject(
      HttpRequest request, CallerConnection connection, NotRunCause cause) {
    if (cause == BadRequest.MALFORMED_REQUEST) {
      connection.closeAfterResponse();
    }
    Streams.discard(request.takeBodyStream(), connection::close);
    return Promise.of(thread.responses().notRun(cause));
  }

  private Promise<HttpResponse> forward(
      HttpRequest request, CallerConnection connection, RequestHead head) {
    boolean decompressed = request.getConnection().isGzipped();
    HeaderFields headers =
        HeaderFields.copyOf(request, header -> RequestHead.isForwarded(header, decompressed));
    boolean forwarded = request.hasHeader(Headers.PASSED_ON_BY);
    OptionalLong contentLength = decompressed ? OptionalLong.empty() : head.contentLength();
    ChannelSupplier<ByteBuf> stream =
        new RequestBodyStream(
            request.takeBodyStream(), connection, thread.settings().maxBodyBytes());
    return Body.read(stream, contentLength, thread.limits().maxBufferedBodyBytes())
        .map(body -> toCallerRequest(request, head, headers, body))
        .then(
            (callerRequest, e) -> {
              if (e != null) {
                return Promise.of(thread.responses().notRun(bodyErrorCause(e)));
              }
              return run(callerRequest, head, connection, forwarded);
            });
  }

  private Promise<HttpResponse> run(
      CallerRequest request, RequestHead head, CallerConnection connection, boolean forwarded) {
    if (head.key().isPresent() && !head.call().idempotent()) {
      return keyedRequests.run(request, head.key().get(), connection, forwarded);
    }
    Exchange exchange = new Exchange(thread, request);
    connection.setDisconnectHandler(exchange::onCallerDisconnect);
    return exchange.start().map(outcome -> thread.responses().fromOutcome(outcome, connection));
  }

  private static CallerRequest toCallerRequest(
      HttpRequest request, RequestHead head, HeaderFields headers, Body body) {
    return new CallerRequest(
        head.service(),
        head.call(),
        request.getMethod(),
        request.getPathAndQuery(),
        headers,
        body,
        head.key().map(IdempotencyKey::toString),
        head.deadlineNanos());
  }

  private static NotRunCause bodyErrorCause(Exception e) {
    return e instanceof RequestBodyStream.BodyTooLargeException
        ? BadRequest.BODY_TOO_LARGE
        : BadRequest.MALFORMED_REQUEST;
  }
}
