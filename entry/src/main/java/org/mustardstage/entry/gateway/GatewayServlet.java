package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import io.activej.csp.consumer.ChannelConsumers;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.mustardstage.core.drain.StopSchedule;
import org.mustardstage.core.gateway.GatewayConfig;
import org.mustardstage.core.http.HeaderList;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.transfer.TransferBudget;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;
import org.mustardstage.entry.traffic.CallerConnection;
import org.mustardstage.entry.traffic.CallerConnections;
import org.mustardstage.entry.traffic.Headers;
import org.mustardstage.entry.traffic.ResponseBodyStream;

/**
 * Responds to each request of a caller with the response of an endpoint, or with an error reason.
 */
final class GatewayServlet implements AsyncServlet {
  /** The header that names the reason of a response that no endpoint produced. */
  static final String ERROR_REASON_NAME = "Mustardstage-Error";

  private static final int STATUS_BAD_GATEWAY = 502;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final long OLDER_CONFIG_RETRY_AFTER_MILLIS = 100;
  private static final long NO_CONFIG_RETRY_AFTER_MILLIS = 500;
  private static final long STALE_KEYS_RETRY_AFTER_MILLIS = 500;
  private static final long STOPPING_RETRY_AFTER_MILLIS = 50;
  private static final long BUFFERS_FULL_RETRY_AFTER_MILLIS = 500;
  private static final long MAX_BUFFERED_BODY_BYTES = 8 << 20;
  private static final HttpHeader RETRY_AFTER = HttpHeaders.of("Retry-After");
  private static final HttpHeader ERROR_REASON = HttpHeaders.of(ERROR_REASON_NAME);

  private final Supplier<Optional<GatewayConfig>> config;
  private final GatewayServices services;
  private final BooleanSupplier rejectsNewRequests;
  private final Supplier<Optional<StopSchedule>> stopSchedule;
  private final RequestReader reader;
  private final RequestBodyReader bodyReader;
  private final WeightedServiceSelector serviceSelector = new WeightedServiceSelector();
  private final GatewayMetrics metrics;
  private final RequestLog requestLog;
  private final HttpHeader requestId;
  private final Set<RequestExecution> executions = new HashSet<>();
  private int inFlight;
  private boolean exiting;

  GatewayServlet(
      Supplier<Optional<GatewayConfig>> config,
      GatewayServices services,
      BooleanSupplier rejectsNewRequests,
      Supplier<Optional<StopSchedule>> stopSchedule,
      BooleanSupplier acceptsKeys,
      RequestBodyReader bodyReader,
      GatewayMetrics metrics) {
    this.config = config;
    this.services = services;
    this.rejectsNewRequests = rejectsNewRequests;
    this.stopSchedule = stopSchedule;
    this.metrics = metrics;
    this.requestLog = new RequestLog(metrics);
    this.bodyReader = bodyReader;
    this.requestId = HttpHeaders.of(services.headerNames().requestId());
    this.reader = new RequestReader(services.headerNames(), acceptsKeys);
  }

  /** Returns the number of requests that have no response yet. */
  int inFlight() {
    return inFlight;
  }

  /**
   * Gives each request that has no outcome yet the error of one that was cut short, or rejects it
   * if it was not sent. Requests whose body is complete only now are rejected.
   */
  void endRequests() {
    exiting = true;
    ImmutableList.copyOf(executions)
        .forEach(execution -> execution.onExit(STOPPING_RETRY_AFTER_MILLIS));
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest httpRequest) {
    long nowNanos = System.nanoTime();
    CallerConnection connection = CallerConnections.of(httpRequest);
    if (connection.closesAfterResponse()) {
      // Never completed, as the connection is about to close.
      return new SettablePromise<>();
    }
    Optional<GatewayConfig> activeConfig = config.get();
    if (activeConfig.isEmpty() || rejectsNewRequests.getAsBoolean()) {
      return reject(
          httpRequest,
          notRun(
              activeConfig.isEmpty() ? NotRunReasons.NO_CONFIG : NotRunReasons.STOPPING,
              activeConfig.isEmpty() ? NO_CONFIG_RETRY_AFTER_MILLIS : STOPPING_RETRY_AFTER_MILLIS));
    }
    Either<RequestReader.Problem, RequestReader.Head> head =
        reader.read(httpRequest, activeConfig.get(), nowNanos, services.relayNetwork()::isVm);
    if (head.isLeft()) {
      return reject(httpRequest, head.getLeft(), activeConfig.get());
    }
    if (mayOutlastProcess(head.get())) {
      return reject(httpRequest, notRun(NotRunReasons.STOPPING, STOPPING_RETRY_AFTER_MILLIS));
    }
    ServiceName service = serviceSelector.select(head.get().rule());
    String pathAndQuery = httpRequest.getPathAndQuery();
    InetAddress callerAddress = httpRequest.getRemoteAddress();
    var method = httpRequest.getMethod();
    long maxBytes =
        Math.min(MAX_BUFFERED_BODY_BYTES, activeConfig.get().callerLimits().maxBodyBytes());
    inFlight++;
    return bodyReader
        .read(httpRequest, maxBytes)
        .then(
            read -> {
              if (read.isLeft()) {
                return Promise.of(bodyFailure(read.getLeft()));
              }
              RequestBodyReader.Body body = read.get();
              CallerRequest request =
                  new CallerRequest(
                      head.get().id(),
                      head.get().rule(),
                      head.get().tenant(),
                      head.get().keyHash(),
                      service,
                      head.get().affinityKey(),
                      method,
                      pathAndQuery,
                      head.get().headers(),
                      body.bytes(),
                      callerAddress,
                      head.get().arrivalNanos(),
                      head.get().deadlineNanos(),
                      head.get().relay());
              return begin(request, connection, activeConfig.get())
                  .whenComplete((response, e) -> body.release());
            })
        .whenComplete((response, e) -> inFlight--);
  }

  private boolean mayOutlastProcess(RequestReader.Head head) {
    return stopSchedule
        .get()
        .filter(schedule -> !schedule.allowsDeadline(head.deadlineNanos()))
        .isPresent();
  }

  private static HttpResponse bodyFailure(RequestBodyReader.Failure failure) {
    return switch (failure) {
      case TOO_LARGE, INCOMPLETE -> problem(RequestReader.Problem.BODY_TOO_LARGE);
      case BUFFERS_FULL -> notRun(NotRunReasons.BUFFERS_FULL, BUFFERS_FULL_RETRY_AFTER_MILLIS);
    };
  }

  /** Executes the request, if there is room for its response. */
  private Promise<HttpResponse> begin(
      CallerRequest request, CallerConnection connection, GatewayConfig activeConfig) {
    if (exiting) {
      return Promise.of(notRun(NotRunReasons.STOPPING, STOPPING_RETRY_AFTER_MILLIS));
    }
    if (!request.rule().largeResponses()) {
      return execute(request, Optional.empty(), connection, activeConfig);
    }
    Either<RequestOutcome.NotRun, TransferBudget<String>.Transfer> transfer =
        services.largeResponses().begin(request);
    if (transfer.isLeft()) {
      metrics.recordOutcome(
          request.rule(),
          request.tenant(),
          transfer.getLeft(),
          System.nanoTime() - request.arrivalNanos());
      return Promise.of(respond(request, transfer.getLeft(), connection));
    }
    return execute(request, Optional.of(transfer.get()), connection, activeConfig);
  }

  private Promise<HttpResponse> execute(
      CallerRequest request,
      Optional<TransferBudget<String>.Transfer> transfer,
      CallerConnection connection,
      GatewayConfig activeConfig) {
    RequestExecution execution =
        new RequestExecution(services, request, transfer, activeConfig.version());
    connection.setDisconnectHandler(execution::onCallerDisconnected);
    executions.add(execution);
    return execution
        .start()
        .map(
            outcome -> {
              executions.remove(execution);
              requestLog.recordEnd(request, activeConfig.version(), execution, outcome);
              return respond(
                  request,
                  transfer
                      .map(room -> services.largeResponses().track(request, outcome, room))
                      .orElse(outcome),
                  connection);
            });
  }

  private HttpResponse respond(
      CallerRequest request, RequestOutcome outcome, CallerConnection connection) {
    return switch (outcome) {
      case RequestOutcome.Responded responded ->
          forward(responded.response(), request.relay().isPresent(), connection);
      case RequestOutcome.NotRun notRun -> notRun(notRun.reason(), notRun.retryAfterMillis());
      case RequestOutcome.Unknown unknown ->
          failure(unknown.cause().status(), unknown.cause().name());
      case RequestOutcome.CallerDisconnected disconnected ->
          failure(
              disconnected.mayHaveRun() ? STATUS_BAD_GATEWAY : STATUS_UNAVAILABLE, "CALLER_LEFT");
    };
  }

  /**
   * Returns the response of an endpoint to a caller, or to the VM that relayed the request. What an
   * endpoint says of itself is not for that VM, which does not know which endpoint it was.
   */
  private HttpResponse forward(
      EndpointResponse endpointResponse, boolean toVm, CallerConnection connection) {
    HttpResponse.Builder response = HttpResponse.ofCode(endpointResponse.status());
    for (HeaderList.Line line : endpointResponse.headers().lines()) {
      HttpHeader header = HttpHeaders.of(line.name());
      boolean withheld =
          toVm
              && (line.isNamed(services.headerNames().leaving())
                  || line.isNamed(services.headerNames().requestLimit()));
      if (!withheld && !Headers.isHopByHop(header) && !header.equals(HttpHeaders.CONTENT_LENGTH)) {
        response.withHeader(header, line.value());
      }
    }
    if (endpointResponse.stream().isEmpty()) {
      return response.withBody(endpointResponse.body()).build();
    }
    StreamedBody body = endpointResponse.stream().get();
    services.largeResponses().limitSendBuffer(connection);
    body.length()
        .ifPresent(
            length -> response.withHeader(HttpHeaders.CONTENT_LENGTH, String.valueOf(length)));
    return response.withBodyStream(new ResponseBodyStream(body, connection)).build();
  }

  private static Promise<HttpResponse> reject(HttpRequest request, HttpResponse response) {
    return skipBody(request).then((end, e) -> Promise.of(response));
  }

  /**
   * Reads the body without keeping it, so that the connection can carry another request. One that
   * is too large ends the connection.
   */
  private static Promise<Void> skipBody(HttpRequest request) {
    long[] remainingBytes = {MAX_BUFFERED_BODY_BYTES};
    return request
        .takeBodyStream()
        .streamTo(
            ChannelConsumers.ofConsumer(
                chunk -> {
                  remainingBytes[0] -= chunk.readRemaining();
                  chunk.recycle();
                  if (remainingBytes[0] < 0) {
                    throw new IOException("the body of a rejected request is too large to skip");
                  }
                }));
  }

  private Promise<HttpResponse> reject(
      HttpRequest request, RequestReader.Problem problem, GatewayConfig activeConfig) {
    metrics.recordRejected(problem);
    return switch (problem) {
      case KEY_MISSING, KEY_UNKNOWN, KEY_MALFORMED -> rejectByKey(request, problem, activeConfig);
      case OLDER_CONFIG ->
          reject(request, notRun(NotRunReasons.OLDER_CONFIG, OLDER_CONFIG_RETRY_AFTER_MILLIS));
      case KEYS_STALE ->
          reject(request, notRun(NotRunReasons.KEYS_STALE, STALE_KEYS_RETRY_AFTER_MILLIS));
      case AMBIGUOUS_FRAMING -> rejectAndClose(request, problem);
      case MALFORMED, BODY_ENCODED, NO_ROUTE, BODY_TOO_LARGE -> reject(request, problem(problem));
    };
  }

  /** Responds at once, before the body, which is not kept, has arrived. */
  private Promise<HttpResponse> rejectByKey(
      HttpRequest request, RequestReader.Problem problem, GatewayConfig activeConfig) {
    EventLog.log(
        Event.KEY_REJECTED,
        "request",
        Optional.ofNullable(request.getHeader(requestId)).orElse(""),
        "host",
        Optional.ofNullable(request.getHeader(HttpHeaders.HOST)).orElse(""),
        "path",
        request.getPath(),
        "config",
        activeConfig.version(),
        "callerAddress",
        request.getRemoteAddress().getHostAddress(),
        "why",
        problem.name());
    skipBody(request).whenException(e -> {});
    return Promise.of(problem(problem));
  }

  /** Responds at once and closes the connection, as what follows on it may not be a request. */
  private static Promise<HttpResponse> rejectAndClose(
      HttpRequest request, RequestReader.Problem problem) {
    CallerConnections.of(request).closeAfterResponse();
    skipBody(request).whenException(e -> {});
    return Promise.of(problem(problem));
  }

  private static HttpResponse problem(RequestReader.Problem problem) {
    return failure(problem.status(), problem.name());
  }

  private static HttpResponse notRun(String reason, long retryAfterMillis) {
    String seconds = String.format(Locale.ROOT, "%.3f", retryAfterMillis / 1_000.0);
    return HttpResponse.ofCode(NotRunReasons.statusOf(reason))
        .withHeader(RETRY_AFTER, seconds)
        .withHeader(ERROR_REASON, reason)
        .withBody(reason.getBytes(StandardCharsets.US_ASCII))
        .build();
  }

  private static HttpResponse failure(int status, String reason) {
    return HttpResponse.ofCode(status)
        .withHeader(ERROR_REASON, reason)
        .withBody(reason.getBytes(StandardCharsets.US_ASCII))
        .build();
  }
}
