package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mustardstage.core.placement.UsableEndpoint;

/**
 * Lets 200 callers ask for large responses and read nothing. Guards against a VM that runs out of
 * memory, against endpoints whose slots wait for callers, and against other requests that suffer.
 */
@Timeout(60)
class SlowReadersTest extends GatewayTestBed {
  private static final int CALLERS = 200;
  private static final int ENDPOINTS = 5;
  private static final int RESPONSE_BYTES = 540 << 10;

  /** An endpoint cuts off a response that is not read for some seconds. */
  private static final long MAX_WRITE_NANOS = 1_000_000_000;

  private static final long LATENCY_OBJECTIVE_NANOS = 300_000_000;
  private static final int ORDINARY_REQUESTS = 300;

  private final AtomicLong longestWriteNanos = new AtomicLong();

  private void writeLarge(FakeEndpoint.ReceivedRequest request, Socket socket) throws IOException {
    long startNanos = System.nanoTime();
    FakeEndpoint.respondOk(request, socket, "x".repeat(RESPONSE_BYTES));
    longestWriteNanos.accumulateAndGet(System.nanoTime() - startNanos, Math::max);
  }

  private Socket ask(int caller) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(4 << 10);
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), address.port()));
    FakeEndpoint.write(
        socket,
        "GET /bundles/"
            + caller
            + " HTTP/1.1\r\nHost: "
            + address
            + "\r\nX-Request-Id: r-"
            + caller
            + "\r\nX-Deadline-Ms: 30000\r\n\r\n");
    return socket;
  }

  private long p99OfOrdinaryNanos() throws Exception {
    long[] nanos = new long[ORDINARY_REQUESTS];
    for (int i = 0; i < nanos.length; i++) {
      long startNanos = System.nanoTime();
      assertThat(get(IDEMPOTENT_PATH).body(), is("done"));
      nanos[i] = System.nanoTime() - startNanos;
    }
    Arrays.sort(nanos);
    return nanos[nanos.length * 99 / 100];
  }

  private double gauge(String name) {
    return new String(metrics.scrape(), StandardCharsets.UTF_8)
        .lines()
        .filter(line -> line.startsWith(name + " "))
        .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
        .findFirst()
        .orElseThrow();
  }

  private static long usedHeapBytes() {
    Runtime.getRuntime().gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      assertThat("the connection ended in a head", next, is(greaterThanOrEqualTo(0)));
      head.append((char) next);
    }
    return head.toString();
  }

  @Test
  void slowReadersHoldNeitherTheHeapNorEndpointsNorOrdinaryRequests() throws Exception {
    List<FakeEndpoint> endpoints = new ArrayList<>();
    ImmutableList.Builder<UsableEndpoint> usable = ImmutableList.builder();
    for (int i = 0; i < ENDPOINTS; i++) {
      FakeEndpoint endpoint = new FakeEndpoint("i-large-" + i);
      endpoint.setHandler(this::writeLarge);
      endpoints.add(endpoint);
      usable.add(new UsableEndpoint(endpoint.registration(REPORTS, CALLERS / ENDPOINTS), 0));
    }
    publish(
        ImmutableMap.of(
            ORDERS,
            ImmutableList.of(new UsableEndpoint(first.registration(), 0)),
            REPORTS,
            usable.build()));
    long heapBefore = usedHeapBytes();

    List<Socket> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      callers.add(ask(i));
    }
    long p99Beside = p99OfOrdinaryNanos();
    long heapGrowth = usedHeapBytes() - heapBefore;
    double held = gauge("mustardstage_large_response_held_bytes");
    int refused = 0;
    int whole = 0;
    for (Socket caller : callers) {
      String head = readHead(caller.getInputStream());
      if (head.startsWith("HTTP/1.1 503")) {
        refused++;
        assertThat(head, containsString("RESPONSES_FULL"));
        assertThat(head, containsString("Retry-After"));
      } else {
        whole +=
            caller.getInputStream().readNBytes(RESPONSE_BYTES).length == RESPONSE_BYTES ? 1 : 0;
      }
    }
    assertThat(whole + refused, is(CALLERS));
    assertThat(refused, is(greaterThan(0)));
    assertThat(
        endpoints.stream().mapToInt(each -> each.receivedRequests().size()).sum(), is(whole));
    assertThat(longestWriteNanos.get(), is(lessThan(MAX_WRITE_NANOS)));
    assertThat(held, is(lessThanOrEqualTo(HEAP_BYTES / 4.0)));
    assertThat(heapGrowth, is(lessThan(HEAP_BYTES / 2)));
    assertThat(p99Beside, is(lessThan(LATENCY_OBJECTIVE_NANOS)));
    for (Socket caller : callers) {
      caller.close();
    }
    for (FakeEndpoint endpoint : endpoints) {
      endpoint.close();
    }
  }

  @Test
  void responsesBeyondTheRoomWaitAtTheEndpointUntilTheirCallersRead() throws Exception {
    int bytes = 12 << 20;
    int[] firstLength = {RESPONSE_BYTES};
    second.setHandler(
        (request, socket) -> FakeEndpoint.respondOk(request, socket, "x".repeat(firstLength[0])));
    publish(
        ImmutableMap.of(
            REPORTS, ImmutableList.of(new UsableEndpoint(second.registration(REPORTS, 9), 0))));
    assertThat(get("/bundles/0").body().length(), is(RESPONSE_BYTES));
    firstLength[0] = bytes;

    List<Socket> callers = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      callers.add(ask(i));
    }
    Thread.sleep(1_000);
    double held = gauge("mustardstage_large_response_held_bytes");
    assertThat(held, is(greaterThan((double) bytes)));
    assertThat(held, is(lessThanOrEqualTo(HEAP_BYTES / 4.0)));
    for (Socket caller : callers) {
      assertThat(readHead(caller.getInputStream()), containsString("HTTP/1.1 200"));
      assertThat(caller.getInputStream().readNBytes(bytes).length, is(bytes));
      caller.close();
    }
  }
}
