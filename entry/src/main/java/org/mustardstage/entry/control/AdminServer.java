package org.mustardstage.entry.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Strings;
import com.google.common.collect.Lists;
import com.google.common.net.InetAddresses;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletionException;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.SubmissionId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.Member;
import org.mustardstage.entry.platform.Row;
import org.mustardstage.schema.ManifestWriter;

/** The HTTP server for operators: health, metrics, status, submissions and audit. */
public final class AdminServer {
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int CONFLICT = 409;
  private static final int UNPROCESSABLE = 422;
  private static final int BAD_GATEWAY = 502;
  private static final int UNAVAILABLE = 503;
  private static final int MAX_MANIFEST_BYTES = 64 << 20;
  private static final int DEFAULT_AUDIT_LIMIT = 50;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final ControlThread control;
  private final ControlMetrics metrics;
  private final HttpServer server;

  /** Creates a server for {@code control} that will listen on {@code address}. */
  public AdminServer(ControlThread control, HostAndPort address) {
    this.control = control;
    this.metrics = new ControlMetrics(control);
    this.server =
        HttpServer.builder(control.eventloop(), buildServlet())
            .withListenAddress(new InetSocketAddress(address.host(), address.port()))
            .withMaxBodySize(MAX_MANIFEST_BYTES)
            .build();
  }

  /** Starts listening on the configured address. */
  public void start() throws IOException {
    try {
      control.eventloop().submit(server::listen).join();
    } catch (CompletionException e) {
      throw new IOException("admin server can't listen on " + control.adminAddress(), e.getCause());
    }
  }

  /** Stops listening. */
  public void stop() {
    control.eventloop().submit(() -> server.close().toVoid()).join();
  }

  private RoutingServlet buildServlet() {
    return RoutingServlet.builder(control.eventloop())
        .with(HttpMethod.GET, "/health", request -> text(OK, "ok\n").toPromise())
        .with(HttpMethod.GET, "/ready", request -> ready().toPromise())
        .with(HttpMethod.GET, "/metrics", request -> metricsResponse().toPromise())
        .with(HttpMethod.GET, "/v1/status", request -> status().toPromise())
        .with(HttpMethod.GET, "/v1/manifest", request -> manifest().toPromise())
        .with(HttpMethod.GET, "/v1/explain", request -> explain(request).toPromise())
        .with(HttpMethod.GET, "/v1/audit", this::audit)
        .with(HttpMethod.POST, "/v1/submissions", this::submit)
        .build();
  }

  private HttpResponse ready() {
    boolean ready = control.snapshot().manifest().isPresent() && !control.snapshot().stopping();
    return ready ? text(OK, "ready\n") : text(UNAVAILABLE, "not ready\n");
  }

  private HttpResponse metricsResponse() {
    return HttpResponse.ofCode(OK)
        .withHeader(HttpHeaders.CONTENT_TYPE, "text/plain; version=0.0.4")
        .withBody(metrics.write())
        .build();
  }

  private HttpResponse status() {
    return json(OK, StatusReport.of(control));
  }

  private HttpResponse manifest() {
    return control
        .manifest()
        .map(
            manifest ->
                HttpResponse.ofCode(OK)
                    .withHeader(HttpHeaders.CONTENT_TYPE, "application/yaml")
                    .withHeader(
                        HttpHeaders.of("Mustardstage-Version"),
                        control.snapshot().version().toString())
                    .withBody(ManifestWriter.write(manifest).getBytes(StandardCharsets.UTF_8))
                    .build())
        .orElseGet(() -> problem(UNAVAILABLE, "no-manifest", "no manifest is active yet"));
  }

  private HttpResponse explain(HttpRequest request) {
    String address = Strings.nullToEmpty(request.getQueryParameter("address"));
    if (!InetAddresses.isInetAddress(address)) {
      return problem(
          BAD_REQUEST,
          "bad-address",
          "query parameter address: expected an IPv4 address, got " + address);
    }
    int caller = InetAddresses.coerceToInteger(InetAddresses.forString(address));
    ObjectNode root = MAPPER.createObjectNode();
    root.put("address", address);
    root.put("service", request.getQueryParameter("service"));
    root.put("version", control.lookupTable().version().number());
    root.put("reason", control.lookupTable().explain(caller).toString());
    ArrayNode vms = root.putArray("entryVms");
    for (Member member : control.lookupTable().find(caller)) {
      vms.addObject()
          .put("vm", member.vm().value())
          .put("zone", member.zone().value())
          .put("address", member.trafficAddress().toString());
    }
    return json(OK, root);
  }

  private Promise<HttpResponse> audit(HttpRequest request) {
    String limitText = request.getQueryParameter("limit");
    int limit;
    try {
      limit = limitText == null ? DEFAULT_AUDIT_LIMIT : Integer.parseInt(limitText);
    } catch (NumberFormatException e) {
      return problem(
              BAD_REQUEST,
              "bad-limit",
              "query parameter limit: expected a number, got " + limitText)
          .toPromise();
    }
    return control
        .table()
        .scan(TableRows.AUDIT_PREFIX)
        .map(
            read ->
                read.fold(
                    failure -> problem(UNAVAILABLE, "platform-unavailable", failure.toString()),
                    rows -> json(OK, auditJson(rows, limit))));
  }

  private static ObjectNode auditJson(List<Row> rows, int limit) {
    ObjectNode root = MAPPER.createObjectNode();
    ArrayNode entries = root.putArray("entries");
    Lists.reverse(rows).stream()
        .limit(limit)
        .flatMap(row -> TableRows.parse(row).stream())
        .forEach(entries::add);
    return root;
  }

  private Promise<HttpResponse> submit(HttpRequest request) {
    return request
        .loadBody(MAX_MANIFEST_BYTES)
        .then(
            body -> {
              Submission submission;
              try {
                submission = toSubmission(MAPPER.readTree(body.getArray()));
              } catch (IOException | IllegalArgumentException e) {
                String detail = String.valueOf(e.getMessage());
                return problem(BAD_REQUEST, "bad-submission", detail).toPromise();
              }
              return control.submit(submission).map(AdminServer::toResponse);
            });
  }

  private static Submission toSubmission(JsonNode node) throws JsonProcessingException {
    if (!node.path("baseVersion").isIntegralNumber() || !node.path("manifest").isTextual()) {
      throw new IllegalArgumentException(
          "expected submissionId, integer baseVersion, submitter and text manifest");
    }
    return new Submission(
        new SubmissionId(node.path("submissionId").asText()),
        new ConfigVersion(node.path("baseVersion").asLong()),
        node.path("submitter").asText("unknown"),
        node.path("manifest").asText());
  }

  private static HttpResponse toResponse(SubmissionResult result) {
    return switch (result) {
      case SubmissionResult.Accepted accepted ->
          json(OK, MAPPER.createObjectNode().put("version", accepted.version().number()));
      case SubmissionResult.Conflict conflict ->
          json(
              CONFLICT,
              problemNode("conflict", "another version was accepted after the base version")
                  .put("currentVersion", conflict.current().number()));
      case SubmissionResult.Invalid invalid -> json(UNPROCESSABLE, invalidNode(invalid));
      case SubmissionResult.PlatformUnavailable unavailable ->
          problem(UNAVAILABLE, "platform-unavailable", unavailable.failure().toString());
      case SubmissionResult.OutcomeUnknown unknown ->
          problem(BAD_GATEWAY, "outcome-unknown", unknown.failure().toString());
    };
  }

  private static ObjectNode invalidNode(SubmissionResult.Invalid invalid) {
    ObjectNode node = problemNode("invalid-manifest", "the manifest is invalid; see problems");
    ArrayNode problems = node.putArray("problems");
    for (SubmissionResult.ProblemText problem : invalid.problems()) {
      problems
          .addObject()
          .put("kind", problem.kind())
          .put("path", problem.path())
          .put("description", problem.description());
    }
    return node;
  }

  private static ObjectNode problemNode(String code, String detail) {
    return MAPPER.createObjectNode().put("code", code).put("detail", detail);
  }

  private static HttpResponse problem(int status, String code, String detail) {
    return json(status, problemNode(code, detail));
  }

  private static HttpResponse json(int status, ObjectNode node) {
    return HttpResponse.ofCode(status)
        .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
        .withBody(node.toString().getBytes(StandardCharsets.UTF_8))
        .build();
  }

  private static HttpResponse text(int status, String body) {
    return HttpResponse.ofCode(status)
        .withHeader(HttpHeaders.CONTENT_TYPE, "text/plain")
        .withBody(body.getBytes(StandardCharsets.UTF_8))
        .build();
  }
}
