package org.mustardstage.entry.traffic;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.util.OptionalLong;
import org.mustardstage.core.outcome.BadRequest;
import org.mustardstage.core.outcome.IdempotencyKey;
import org.mustardstage.core.outcome.NotRunCause;
import org.mustardstage.core.overload.RejectionReason;

/** Answers each request of a caller: look-ups at once, others through an endpoint. */
final class CallerServlet implements AsyncServlet {
  private static final String LOOKUP_PATH = "/v1/lookup";

  private final TrafficThread thread;
  private final LookupServlet lookups;
  private final KeyedRequests keyed;

  CallerServlet(TrafficThread thread, LookupServlet lookups, KeyedRequests keyed) {
    this.thread = thread;
    this.lookups = lookups;
    this.keyed = keyed;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request) {
    CallerConnection connection = CallerConnections.of(request);
    if (thread.isStopping()) {
      connection.closeAfterResponse();
      return reject(request, connection, NotRunCause.ofRejection(RejectionReason.STOPPING));
    }
    if (isLookup(request)) {
      return Promise.of(lookups.answer(request));
    }
    Either<NotRunCause, RequestHead> head =
        RequestHead.read(request, thread.snapshot().manifest(), thread.settings().maxBodyBytes());
    return head.fold(
        cause -> reject(request, connection, cause), read -> carry(request, connection, read));
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
    return Promise.of(thread.answers().notRun(cause));
  }

  private Promise<HttpResponse> carry(
      HttpRequest request, CallerConnection connection, RequestHead head) {
    boolean unzipped = request.getConnection().isGzipped();
    HeaderLines headers =
        HeaderLines.copyOf(request, header -> RequestHead.isPassedOn(header, unzipped));
    boolean passedOn = request.hasHeader(Headers.PASSED_ON_BY);
    OptionalLong statedBytes = unzipped ? OptionalLong.empty() : head.statedBytes();
    ChannelSupplier<ByteBuf> stream =
        new CallerBodyStream(
            request.takeBodyStream(), connection, thread.settings().maxBodyBytes());
    return Body.read(stream, statedBytes, thread.limits().heldBodyBytes())
        .map(body -> toCallerRequest(request, head, headers, body))
        .then(
            (callerRequest, e) -> {
              if (e != null) {
                return Promise.of(thread.answers().notRun(bodyFailure(e)));
              }
              return run(callerRequest, head, connection, passedOn);
            });
  }

  private Promise<HttpResponse> run(
      CallerRequest request, RequestHead head, CallerConnection connection, boolean passedOn) {
    if (head.key().isPresent() && !head.call().idempotent()) {
      return keyed.run(request, head.key().get(), connection, passedOn);
    }
    Exchange exchange = new Exchange(thread, request);
    connection.setDisconnectHandler(exchange::onCallerLeft);
    return exchange.start().map(result -> thread.answers().of(result, connection));
  }

  private static CallerRequest toCallerRequest(
      HttpRequest request, RequestHead head, HeaderLines headers, Body body) {
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

  private static NotRunCause bodyFailure(Exception e) {
    return e instanceof CallerBodyStream.BodyTooLargeException
        ? BadRequest.BODY_TOO_LARGE
        : BadRequest.MALFORMED_REQUEST;
  }
}
