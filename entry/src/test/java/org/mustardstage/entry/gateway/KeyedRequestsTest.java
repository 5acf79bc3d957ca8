package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mustardstage.core.gateway.CallerLimits;
import org.mustardstage.core.gateway.GatewayConfig;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.gateway.ServiceSpec;
import org.mustardstage.core.gateway.WeightedService;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.TenantName;
import org.mustardstage.core.tenant.Tenant;
import org.mustardstage.core.tenant.TenantDirectory;

/**
 * Guards against requests that run without the key of a tenant, under the name of another one, or
 * with the key passed on to an endpoint.
 */
@Timeout(60)
class KeyedRequestsTest extends GatewayTestBed {
  private static final String KEY = "secret-of-mill";
  private static final int SHORT_MILLIS = 700;

  static GatewayConfig configWithTenants(long version, Map<TenantName, List<String>> keys) {
    ImmutableMap.Builder<TenantName, Tenant> tenants = ImmutableMap.builder();
    for (TenantName name : keys.keySet()) {
      tenants.put(name, tenant(name.value()));
    }
    return new GatewayConfig(
        new ConfigVersion(version),
        new CallerLimits(16_384, 4 << 20, 3_000, 15_000),
        List.of(new ServiceSpec(ORDERS, "/health", 700, 3_000, 17)),
        Map.of("127.0.0.1", List.of(rule("look", false), rule("open", true))),
        new TenantDirectory(tenants.buildOrThrow(), keys));
  }

  private static RoutingRule rule(String name, boolean anonymous) {
    return new RoutingRule(
        name,
        "/" + name + "/",
        /* idempotent= */ true,
        300,
        1,
        true,
        List.of(new WeightedService(ORDERS, 1)),
        2_000,
        2,
        ImmutableSet.of(),
        anonymous,
        /* largeResponses= */ false);
  }

  @BeforeEach
  void declareTenants() {
    declare(2, Map.of(new TenantName("mill"), List.of(KEY)));
  }

  private void declare(long version, Map<TenantName, List<String>> keys) {
    server.onConfig(configWithTenants(version, keys));
    publish(first);
  }

  private Socket connect() throws IOException {
    return new Socket(InetAddress.getLoopbackAddress(), address.port());
  }

  /** Sends a request without reading the response. */
  private void send(Socket caller, String method, String path, String headers, String body)
      throws IOException {
    String head =
        method
            + " "
            + path
            + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: r-1\r\nX-Deadline-Ms: 5000\r\n"
            + headers
            + "\r\n"
            + body;
    caller.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
    caller.getOutputStream().flush();
  }

  /** Reads the head of one response, and its body if it has a length. */
  private static String receive(Socket caller) throws IOException {
    caller.setSoTimeout(5_000);
    InputStream in = caller.getInputStream();
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int c = in.read();
      if (c < 0) {
        return head.toString();
      }
      head.append((char) c);
    }
    for (String line : head.toString().split("\r\n", -1)) {
      if (line.regionMatches(true, 0, "Content-Length:", 0, 15)) {
        in.readNBytes(Integer.parseInt(line.substring(15).trim()));
      }
    }
    return head.toString();
  }

  private String call(String path, String headers) throws IOException {
    try (Socket caller = connect()) {
      send(caller, "GET", path, headers, "");
      return receive(caller);
    }
  }

  private void assertRejected(String path, String headers, String reason) throws IOException {
    String response = call(path, headers);
    assertThat(response, containsString("HTTP/1.1 401 "));
    assertThat(response, containsString(reason));
    assertThat(response, not(containsString("secret")));
    assertThat(first.receivedRequests(), is(empty()));
  }

  private FakeEndpoint.ReceivedRequest served(String path, String headers) throws IOException {
    assertThat(call(path, headers), containsString("HTTP/1.1 200 "));
    return first.receivedRequests().getLast();
  }

  @Test
  void requestsWithoutTheKeyOfATenantAreRejected() throws Exception {
    assertRejected("/look/1", "", "KEY_MISSING");
    assertRejected("/look/1", "X-Key:\r\n", "KEY_MALFORMED");
    assertRejected("/look/1", "X-Key: secret-of-mil\r\n", "KEY_UNKNOWN");
    assertRejected("/look/1", "X-Key: " + KEY + "\r\nX-Key: " + KEY + "\r\n", "KEY_MALFORMED");
    assertRejected("/look/1", "X-Key: " + KEY + "\r\nx-key: other\r\n", "KEY_MALFORMED");
    assertRejected("/look/1", "X-Key: " + KEY + ", " + KEY + "\r\n", "KEY_MALFORMED");
    assertRejected("/look/1", "X-Key: " + "x".repeat(300) + "\r\n", "KEY_MALFORMED");
    assertRejected("/look/1", "X-Tenant: mill\r\n", "KEY_MISSING");
  }

  @Test
  void keysAreNotAcceptedWithoutNewsOfThemAndOpenRulesServeOn() throws Exception {
    server.setKeyCheck(() -> false);

    for (String headers : List.of("X-Key: " + KEY + "\r\n", "X-Key: unknown\r\n")) {
      String response = call("/look/1", headers);
      assertThat(response, containsString("HTTP/1.1 503 "));
      assertThat(response, containsString("KEYS_STALE"));
      assertThat(response, containsString("Retry-After: "));
    }
    assertThat(call("/open/1", ""), containsString("HTTP/1.1 200 "));
    server.setKeyCheck(() -> true);
    served("/look/1", "X-Key: " + KEY + "\r\n");
  }

  @Test
  void requestsAreCountedByTenantAndReason() throws Exception {
    served("/look/1", "X-Key: " + KEY + "\r\n");
    call("/look/1", "X-Key: unknown\r\n");
    publish(ImmutableList.of());
    call("/look/1", "X-Key: " + KEY + "\r\n");

    String metrics;
    try (Socket operator = new Socket(InetAddress.getLoopbackAddress(), metricsAddress.port())) {
      String request = "GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n";
      operator.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      metrics = new String(operator.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
    String requests = "mustardstage_tenant_requests_total";
    for (String line :
        List.of(
            requests + "{end=\"answered_2xx\",reason=\"\",tenant=\"mill\"} 1",
            requests + "{end=\"not_run\",reason=\"NO_ENDPOINT\",tenant=\"mill\"} 1",
            "mustardstage_rejected_requests_total{reason=\"KEY_UNKNOWN\"} 1",
            "mustardstage_queued_requests{service=\"orders\"} 0",
            "mustardstage_endpoints{service=\"orders\",state=\"warm\"} 0")) {
      assertThat(metrics, containsString(line));
    }
    assertThat(metrics, not(containsString("secret")));
  }

  @Test
  void numberOfLabelsIsBounded() {
    TenantLabels labels = new TenantLabels(2);
    for (String name : List.of("a", "b", "a")) {
      assertThat(labels.labelOf(Optional.of(tenant(name))), is(name));
    }
    assertThat(labels.labelOf(Optional.of(tenant("c"))), is(TenantLabels.OTHERS));
    assertThat(labels.labelOf(Optional.empty()), is(TenantLabels.NO_TENANT));
  }

  private static Tenant tenant(String name) {
    return new Tenant(
        new TenantName(name), OptionalInt.empty(), ImmutableSet.of(), Optional.empty());
  }

  @Test
  void pathWithoutRuleIsNotFoundWhateverTheKey() throws Exception {
    assertThat(call("/none/1", ""), containsString("HTTP/1.1 404 "));
    assertThat(call("/none/1", "X-Key: " + KEY + "\r\n"), containsString("HTTP/1.1 404 "));
  }

  @Test
  void endpointReceivesTheTenantOfTheKeyAndNotTheKey() throws Exception {
    var received = served("/look/1", "x-kEY: " + KEY + "\r\nX-Tenant: other\r\n");

    assertThat(received.header("X-Tenant"), is("mill"));
    assertThat(received.headers().toString(), not(containsString("secret")));
  }

  @Test
  void callerCanNotTakeTheTenantAwayWithConnectionOptions() throws Exception {
    var received =
        served(
            "/look/1", "X-Key: " + KEY + "\r\nX-Tenant: other\r\nConnection: X-Tenant, X-Key\r\n");

    assertThat(received.header("X-Tenant"), is("mill"));
    assertThat(received.headers().toString(), not(containsString("secret")));
  }

  @Test
  void openRuleNeedsNoKeyAndPassesOnNeitherKeyNorTenant() throws Exception {
    String hash = "Mustardstage-Key-Hash: " + "0".repeat(32) + "\r\n";
    var received = served("/open/1", "X-Key: " + KEY + "\r\nX-Tenant: mill\r\n" + hash);

    assertThat(received.headers().toString(), not(containsString("secret")));
    assertThat(received.headers().containsKey("x-tenant"), is(false));
    assertThat(received.headers().containsKey("mustardstage-key-hash"), is(false));
    served("/open/1", "");
    served("/open/1", "X-Key: unknown\r\n");
  }

  @Test
  void headerNamesWithSpacesDoNotReachTheEndpoint() throws Exception {
    call("/open/1", "X-Tenant : other\r\nX-Key : " + KEY + "\r\n X-Tenant: other\r\n");

    for (FakeEndpoint.ReceivedRequest received : first.receivedRequests()) {
      String names = received.headers().keySet().toString();
      assertThat(received.headers().toString(), not(containsString("secret")));
      assertThat(names, not(containsString("tenant")));
    }
  }

  @Test
  void keysAreAddedAndTakenAwayByVersions() throws Exception {
    declare(3, Map.of(new TenantName("mill"), List.of("next"), new TenantName("press"), List.of()));
    assertRejected("/look/1", "X-Key: " + KEY + "\r\n", "KEY_UNKNOWN");

    assertThat(served("/look/1", "X-Key: next\r\n").header("X-Tenant"), is("mill"));
  }

  @Test
  void rejectionDoesNotWaitForTheBodyAndTheNextRequestIsReadRight() throws Exception {
    int bodyBytes = 2 << 20;
    try (Socket caller = connect()) {
      long startNanos = System.nanoTime();
      send(caller, "POST", "/look/1", "Content-Length: " + bodyBytes + "\r\n", "x".repeat(100));
      String response = receive(caller);

      assertThat(response, containsString("HTTP/1.1 401 "));
      long tookMillis = (System.nanoTime() - startNanos) / 1_000_000;
      assertThat(tookMillis, is(lessThan((long) SHORT_MILLIS)));
      // What follows is body, also if it looks like a request.
      String smuggled = "GET /look/2 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Key: " + KEY + "\r\n\r\n";
      String rest = smuggled + "x".repeat(bodyBytes - 100 - smuggled.length());
      caller.getOutputStream().write(rest.getBytes(StandardCharsets.ISO_8859_1));
      send(caller, "GET", "/look/3", "X-Key: " + KEY + "\r\n", "");
      assertThat(receive(caller), containsString("HTTP/1.1 200 "));
    }
    assertThat(first.receivedRequests().getFirst().requestLine(), is("GET /look/3 HTTP/1.1"));
  }

  @Test
  void connectionIsKeptAfterARejectionWithASmallBody() throws Exception {
    try (Socket caller = connect()) {
      send(caller, "POST", "/look/1", "Content-Length: 4\r\n", "body");
      assertThat(receive(caller), containsString("HTTP/1.1 401 "));
      send(caller, "POST", "/none/1", "Content-Length: 4\r\n", "body");
      assertThat(receive(caller), containsString("HTTP/1.1 404 "));
      send(caller, "GET", "/look/2", "X-Key: " + KEY + "\r\n", "");
      assertThat(receive(caller), containsString("HTTP/1.1 200 "));
    }
  }
}
