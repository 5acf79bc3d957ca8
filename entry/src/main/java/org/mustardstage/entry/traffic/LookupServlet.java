package org.mustardstage.entry.traffic;

import com.google.common.net.InetAddresses;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.vavr.control.Either;
import java.net.Inet4Address;
import java.net.InetAddress;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.outcome.BadRequest;
import org.mustardstage.core.outcome.NotRunCause;
import org.mustardstage.core.overload.RejectionReason;

/** Responds to lookups over HTTP. */
final class LookupServlet {
  private static final String PATH = "/v1/lookup";

  private final TrafficThread thread;
  private final LookupHandler handler;
  private final IdempotencyKeyRegistry keyRegistry;

  LookupServlet(TrafficThread thread, LookupHandler handler, IdempotencyKeyRegistry keyRegistry) {
    this.thread = thread;
    this.handler = handler;
    this.keyRegistry = keyRegistry;
  }

  /** Returns the response to a lookup request. */
  HttpResponse serve(HttpRequest request) {
    return lookup(request).fold(thread.responses()::notRun, thread.responses()::lookup);
  }

  private Either<NotRunCause, byte[]> lookup(HttpRequest request) {
    if (!request.getPath().equals(PATH)) {
      return Either.left(BadRequest.NO_SERVICE);
    }
    if (request.getMethod() != HttpMethod.GET) {
      return Either.left(BadRequest.METHOD_NOT_CARRIED);
    }
    String service = request.getQueryParameter("service");
    if (service == null) {
      return Either.left(BadRequest.NO_SERVICE);
    }
    return parseService(service)
        .flatMap(
            name ->
                callerAddress(request)
                    .flatMap(
                        address ->
                            handler.lookup(
                                name,
                                address,
                                keyRegistry.currentPrefix(thread.snapshot().self()))));
  }

  private static Either<NotRunCause, ServiceName> parseService(String name) {
    try {
      return Either.right(new ServiceName(name));
    } catch (IllegalArgumentException e) {
      return Either.left(NotRunCause.ofRejection(RejectionReason.UNKNOWN_SERVICE));
    }
  }

  private static Either<NotRunCause, Integer> callerAddress(HttpRequest request) {
    String text = request.getQueryParameter("address");
    if (text == null) {
      return toIpv4Number(request.getRemoteAddress());
    }
    try {
      return toIpv4Number(InetAddresses.forString(text));
    } catch (IllegalArgumentException e) {
      return Either.left(BadRequest.MALFORMED_ADDRESS);
    }
  }

  private static Either<NotRunCause, Integer> toIpv4Number(InetAddress address) {
    return address instanceof Inet4Address ipv4
        ? Either.right(InetAddresses.coerceToInteger(ipv4))
        : Either.left(BadRequest.MALFORMED_ADDRESS);
  }
}
