package org.mustardstage.standins.endpoint;

import com.google.common.base.Strings;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServerConnection;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.Reactor;
import java.util.Collections;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.WeakHashMap;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.schema.JsonMessages;
import org.mustardstage.schema.generated.EndpointCancellation;
import org.mustardstage.schema.generated.EndpointFaults;
import org.mustardstage.schema.generated.EndpointLoad;
import org.mustardstage.schema.generated.EndpointPath;
import org.mustardstage.schema.generated.EndpointProfile;
import org.mustardstage.standins.http.Headers;
import org.mustardstage.standins.http.JsonResponses;

/** Runs requests in slots, and serves the control API of an endpoint: load, faults and records. */
final class EndpointServlet implements AsyncServlet {
  private static final String CONTROL_PATH_PREFIX = "/-/";
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  private final Reactor reactor;
  private final String endpointId;
  private final EndpointProfile profile;
  private final SlotUsage slotUsage;
  private final ServiceTimeSampler serviceTimes;
  private final RunRecord record = new RunRecord();
  private final ActiveRuns runs;
  private final Set<HttpServerConnection> connectionsWithRequests = newWeakSet();
  private final Set<HttpServerConnection> silentConnections = newWeakSet();
  private EndpointFaults faults = new EndpointFaults();
  private boolean draining;
  private long arrivals;

  EndpointServlet(Reactor reactor, Endpoint endpoint, EndpointProfile profile) {
    this.reactor = reactor;
    this.endpointId = endpoint.id().value();
    this.profile = profile;
    this.slotUsage = new SlotUsage(endpoint.slots());
    this.runs = new ActiveRuns(reactor, slotUsage, record);
    this.serviceTimes =
        new ServiceTimeSampler(new SplittableRandom(profile.getSeed() ^ endpointId.hashCode()));
  }

  /** Counts a connection that was refused because of the connection limit. */
  void recordRefusedConnection() {
    record.recordRefusedConnection();
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request) {
    if (request.getPath().startsWith(CONTROL_PATH_PREFIX)) {
      return serveControl(request);
    }
    HttpServerConnection connection = request.getConnection();
    if (silentConnections.contains(connection)) {
      return new SettablePromise<>();
    }
    connectionsWithRequests.add(connection);
    Optional<String> requestId = Optional.ofNullable(request.getHeader(Headers.REQUEST_ID));
    return request
        .loadBody()
        .then(body -> admit(EndpointRequest.of(request, endpointId + "-" + ++arrivals)))
        .map(
            response -> {
              requestId.ifPresent(id -> response.withHeader(Headers.REQUEST_ID, id));
              return response.build();
            })
        .then(
            response ->
                silentConnections.contains(connection)
                    ? new SettablePromise<>()
                    : Promise.of(response));
  }

  private Promise<HttpResponse.Builder> admit(EndpointRequest request) {
    Optional<RejectionCode> rejection = findRejection(request);
    if (rejection.isPresent()) {
      record.recordRejection();
      return respond(
          HttpResponse.ofCode(UNAVAILABLE).withHeader(Headers.REFUSED, rejection.get().code()));
    }
    return run(request);
  }

  private Optional<RejectionCode> findRejection(EndpointRequest request) {
    if (draining) {
      return Optional.of(RejectionCode.DRAINING);
    }
    if (runs.isCancelledBeforeStart(request.requestId())) {
      return Optional.of(RejectionCode.CANCELLED);
    }
    if (request.timeLeftMillis().orElse(Long.MAX_VALUE) <= 0) {
      return Optional.of(RejectionCode.DEADLINE);
    }
    boolean hasSlot = slotUsage.recordArrival();
    return faults.getRefuse() || (!hasSlot && profile.getShedAboveSlots())
        ? Optional.of(RejectionCode.OVERLOADED)
        : Optional.empty();
  }

  private Promise<HttpResponse.Builder> run(EndpointRequest request) {
    Optional<EndpointPath> path = findPath(request.path());
    long runMillis = serviceTimes.sampleMillis(path, slowdownFactor());
    return runs.start(request, runMillis)
        .then(
            result ->
                switch (result) {
                  case COMPLETED -> respond(completed(request, path));
                  case CANCELLED -> respond(HttpResponse.ofCode(UNAVAILABLE));
                  case EXPIRED -> respond(HttpResponse.ofCode(GATEWAY_TIMEOUT));
                });
  }

  private static HttpResponse.Builder completed(
      EndpointRequest request, Optional<EndpointPath> path) {
    int bodyBytes = Math.toIntExact(path.map(EndpointPath::getAnswerBytes).orElse(0L));
    return HttpResponse.ofCode(OK)
        .withBody(ResponseBodies.create(request.token().orElse(request.requestId()), bodyBytes));
  }

  private Promise<HttpResponse.Builder> respond(HttpResponse.Builder response) {
    response.withHeader(Headers.LOAD, reportedInUse() + "/" + slotUsage.slots());
    if (draining) {
      response.withHeader(Headers.DRAINING, "true");
    }
    return Promise.of(response);
  }

  private Optional<EndpointPath> findPath(String path) {
    return profile.getPaths().stream()
        .filter(candidate -> path.startsWith(candidate.getPathPrefix()))
        .findFirst();
  }

  private double slowdownFactor() {
    return faults.getSlowFactor() * (1 + (profile.getColdFactor() - 1) * (1 - warmth()));
  }

  private double warmth() {
    long coldRequests = profile.getColdRequests();
    return coldRequests == 0 ? 1 : Math.min(1, (double) arrivals / coldRequests);
  }

  private int reportedInUse() {
    if (faults.getLieAboutLoad()) {
      return 0;
    }
    long lagMillis = profile.getLoadReportLagMillis();
    return lagMillis == 0
        ? slotUsage.inUse()
        : slotUsage.inUseAt(reactor.currentTimeMillis() - lagMillis);
  }

  private Promise<HttpResponse> serveControl(HttpRequest request) {
    String methodAndPath = request.getMethod() + " " + request.getPath();
    return switch (methodAndPath) {
      case "GET /-/load" -> JsonResponses.ok(load());
      case "GET /-/record" -> JsonResponses.ok(record.toMessage(endpointId, slotUsage));
      case "POST /-/cancel" ->
          JsonResponses.ok(cancel(Strings.nullToEmpty(request.getQueryParameter("request"))));
      case "POST /-/drain" -> drain();
      case "POST /-/fault" ->
          request
              .loadBody()
              .then(
                  body ->
                      JsonMessages.read(body.getArray(), EndpointFaults.class)
                          .fold(JsonResponses::malformed, this::setFaults));
      default -> JsonResponses.failure(NOT_FOUND, "not-found");
    };
  }

  private EndpointLoad load() {
    return new EndpointLoad()
        .withSlotsInUse((long) reportedInUse())
        .withSlots((long) slotUsage.slots())
        .withDraining(draining)
        .withWarmth(warmth());
  }

  private EndpointCancellation cancel(String requestId) {
    return new EndpointCancellation().withState(runs.cancel(requestId));
  }

  private Promise<HttpResponse> drain() {
    draining = true;
    return JsonResponses.ok(load());
  }

  private Promise<HttpResponse> setFaults(EndpointFaults newFaults) {
    faults = newFaults;
    if (faults.getSilentConnections()) {
      silentConnections.addAll(connectionsWithRequests);
    }
    return JsonResponses.ok(faults);
  }

  private static Set<HttpServerConnection> newWeakSet() {
    return Collections.newSetFromMap(new WeakHashMap<>());
  }
}
