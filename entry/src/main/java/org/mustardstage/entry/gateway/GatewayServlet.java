package org.mustardstage.entry.gateway;

import io.activej.bytebuf.ByteBuf;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.mustardstage.core.gateway.GatewayConfig;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;
import org.mustardstage.entry.traffic.CallerConnection;
import org.mustardstage.entry.traffic.CallerConnections;
import org.mustardstage.entry.traffic.Headers;

/** Answers each request of a caller with the answer of an endpoint, or says why there is none. */
final class GatewayServlet implements AsyncServlet {
  private static final int UNAVAILABLE = 503;
  private static final long RETRY_WITHOUT_CONFIG_MILLIS = 500;
  private static final long RETRY_ELSEWHERE_MILLIS = 50;
  private static final long MAX_HELD_BODY_BYTES = 8 << 20;
  private static final HttpHeader RETRY_AFTER = HttpHeaders.of("Retry-After");
  private static final HttpHeader REASON = HttpHeaders.of("Mustardstage-Error");

  private final NioReactor reactor;
  private final Supplier<Optional<GatewayConfig>> config;
  private final Placer placer;
  private final EndpointLinks links;
  private final HeaderNames dialect;
  private final BooleanSupplier refusesNew;
  private final RequestReader reader;
  private final ServiceChoice services = new ServiceChoice();
  private final GatewayMetrics metrics;
  private int inFlight;

  GatewayServlet(
      NioReactor reactor,
      Supplier<Optional<GatewayConfig>> config,
      Placer placer,
      EndpointLinks links,
      HeaderNames dialect,
      BooleanSupplier refusesNew,
      GatewayMetrics metrics) {
    this.reactor = reactor;
    this.config = config;
    this.placer = placer;
    this.links = links;
    this.dialect = dialect;
    this.refusesNew = refusesNew;
    this.metrics = metrics;
    this.reader = new RequestReader(dialect);
  }

  /** Returns the number of requests that have no answer yet. */
  int inFlight() {
    return inFlight;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest httpRequest) {
    long arrivedNanos = System.nanoTime();
    Optional<GatewayConfig> known = config.get();
    if (known.isEmpty() || refusesNew.getAsBoolean()) {
      return reject(
          httpRequest,
          notRun(
              known.isEmpty() ? "NO_CONFIG" : "STOPPING",
              known.isEmpty() ? RETRY_WITHOUT_CONFIG_MILLIS : RETRY_ELSEWHERE_MILLIS));
    }
    Either<RequestReader.Problem, RequestReader.Head> head =
        reader.read(httpRequest, known.get(), arrivedNanos);
    if (head.isLeft()) {
      return reject(httpRequest, problem(head.getLeft()));
    }
    ServiceName service = services.choose(head.get().rule());
    CallerConnection connection = CallerConnections.of(httpRequest);
    String pathAndQuery = httpRequest.getPathAndQuery();
    var method = httpRequest.getMethod();
    long maxBytes = Math.min(MAX_HELD_BODY_BYTES, known.get().callerLimits().maxBodyBytes());
    inFlight++;
    return httpRequest
        .loadBody((int) maxBytes)
        .map(GatewayServlet::copy)
        .then(
            body -> {
              CallerRequest request =
                  new CallerRequest(
                      head.get().id(),
                      head.get().rule(),
                      service,
                      head.get().object(),
                      method,
                      pathAndQuery,
                      head.get().headers(),
                      body,
                      arrivedNanos,
                      head.get().deadlineNanos());
              return carry(request, connection, known.get());
            },
            e -> Promise.of(problem(RequestReader.Problem.BODY_TOO_LARGE)))
        .whenComplete((response, e) -> inFlight--);
  }

  private static byte[] copy(ByteBuf buf) {
    return buf.getArray();
  }

  private Promise<HttpResponse> carry(
      CallerRequest request, CallerConnection connection, GatewayConfig version) {
    CallerExchange exchange = new CallerExchange(reactor, placer, links, dialect, request);
    connection.setDisconnectHandler(exchange::onCallerLeft);
    return exchange
        .start()
        .map(
            end -> {
              log(request, version, exchange, end);
              return respond(end);
            });
  }

  private void log(
      CallerRequest request, GatewayConfig version, CallerExchange exchange, ExchangeEnd end) {
    long nowNanos = System.nanoTime();
    metrics.ended(request.rule(), end, nowNanos - request.arrivedNanos());
    EventLog.log(
        Event.REQUEST_ENDED,
        "request",
        request.id(),
        "rule",
        request.rule().name(),
        "config",
        version.version(),
        "service",
        request.service(),
        "object",
        request.object().orElse(""),
        "tries",
        exchange.trace(),
        "tookMillis",
        (nowNanos - request.arrivedNanos()) / 1_000_000,
        "leftMillis",
        (request.deadlineNanos() - nowNanos) / 1_000_000,
        "end",
        describe(end));
  }

  private static String describe(ExchangeEnd end) {
    return switch (end) {
      case ExchangeEnd.Answered answered -> "answered " + answered.reply().status();
      case ExchangeEnd.NotRun notRun ->
          "not-run " + notRun.reason() + " retry-after " + notRun.retryAfterMillis();
      case ExchangeEnd.Unknown unknown -> "unknown " + unknown.cause();
      case ExchangeEnd.CallerLeft left -> "caller-left";
    };
  }

  private static HttpResponse respond(ExchangeEnd end) {
    return switch (end) {
      case ExchangeEnd.Answered answered -> passOn(answered.reply());
      case ExchangeEnd.NotRun notRun -> notRun(notRun.reason(), notRun.retryAfterMillis());
      case ExchangeEnd.Unknown unknown -> failure(unknown.cause().status(), unknown.cause().name());
      case ExchangeEnd.CallerLeft left -> failure(UNAVAILABLE, "CALLER_LEFT");
    };
  }

  private static HttpResponse passOn(EndpointReply reply) {
    HttpResponse.Builder response = HttpResponse.ofCode(reply.status());
    for (HeaderList.Line line : reply.headers().lines()) {
      HttpHeader header = HttpHeaders.of(line.name());
      if (!Headers.isHopByHop(header) && !header.equals(HttpHeaders.CONTENT_LENGTH)) {
        response.withHeader(header, line.value());
      }
    }
    return response.withBody(reply.body()).build();
  }

  private Promise<HttpResponse> reject(HttpRequest request, HttpResponse response) {
    return request
        .loadBody((int) MAX_HELD_BODY_BYTES)
        .whenResult(ByteBuf::recycle)
        .then((body, e) -> Promise.of(response));
  }

  private static HttpResponse problem(RequestReader.Problem problem) {
    return failure(problem.status(), problem.name());
  }

  private static HttpResponse notRun(String reason, long retryAfterMillis) {
    String seconds = String.format(Locale.ROOT, "%.3f", retryAfterMillis / 1_000.0);
    return HttpResponse.ofCode(UNAVAILABLE)
        .withHeader(RETRY_AFTER, seconds)
        .withHeader(REASON, reason)
        .withBody(reason.getBytes(StandardCharsets.US_ASCII))
        .build();
  }

  private static HttpResponse failure(int status, String reason) {
    return HttpResponse.ofCode(status)
        .withHeader(REASON, reason)
        .withBody(reason.getBytes(StandardCharsets.US_ASCII))
        .build();
  }
}
