package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Sends request bodies that together exceed what the gateway holds of them. */
@Timeout(60)
class RequestBodyBudgetTest extends GatewayTestBed {
  /** Within the limit of the configuration; 24 such bodies fill the budget. */
  private static final int BODY_BYTES = 1_000_000;

  private static final int CALLERS = 48;
  private static final long MAX_HEAP_GROWTH_BYTES = HEAP_BYTES / 2;

  private Socket connect() throws IOException {
    Socket caller = new Socket(InetAddress.getLoopbackAddress(), address.port());
    caller.setSoTimeout(20_000);
    return caller;
  }

  private void writeHead(Socket caller, String id, String framing) throws IOException {
    write(
        caller,
        "POST /look/1 HTTP/1.1\r\nHost: "
            + address
            + "\r\nX-Request-Id: "
            + id
            + "\r\nX-Deadline-Ms: 30000\r\n"
            + framing
            + "\r\n\r\n");
  }

  private static void write(Socket caller, String text) throws IOException {
    caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static byte[] body() {
    byte[] body = new byte[BODY_BYTES];
    Arrays.fill(body, (byte) 'b');
    return body;
  }

  private static int readStatus(Socket caller) throws IOException {
    InputStream in = caller.getInputStream();
    String line = new String(in.readNBytes(12), StandardCharsets.US_ASCII);
    return line.length() < 12 ? 0 : Integer.parseInt(line.substring(9));
  }

  /** A body that was dropped between its last bytes and its end was run as an empty one. */
  @Test
  void droppedBodyIsNeverRun() throws Exception {
    List<Socket> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      Socket caller = connect();
      callers.add(caller);
      writeHead(caller, "r-" + i, "Transfer-Encoding: chunked");
      OutputStream out = caller.getOutputStream();
      write(caller, Integer.toHexString(BODY_BYTES) + "\r\n");
      out.write(body());
      write(caller, "\r\n");
    }
    server.awaitIdle(1_000);

    int notRun = 0;
    for (Socket caller : callers) {
      write(caller, "0\r\n\r\n");
      int status = readStatus(caller);
      assertThat("status " + status, status == 200 || status == 503, is(true));
      notRun += status == 503 ? 1 : 0;
      caller.close();
    }

    assertThat(notRun, is(greaterThan(0)));
    for (FakeEndpoint endpoint : List.of(first, second)) {
      for (FakeEndpoint.ReceivedRequest request : endpoint.receivedRequests()) {
        assertThat(request.body().length(), is(BODY_BYTES));
      }
    }
    int run = first.receivedRequests().size() + second.receivedRequests().size();
    assertThat(run, is(CALLERS - notRun));
  }

  /** Whole bodies of requests that wait or run were counted as free, until the heap was full. */
  @Test
  void wholeBodiesCountUntilTheirRequestsEnd() throws Exception {
    CountDownLatch released = new CountDownLatch(1);
    FakeEndpoint.Handler slow =
        (request, socket) -> {
          released.await();
          FakeEndpoint.respondOk(request, socket, "done");
        };
    first.setHandler(slow);
    second.setHandler(slow);
    long heapBefore = usedHeapBytes();
    byte[] body = body();
    List<Future<Integer>> statuses = new ArrayList<>();
    CountDownLatch sent = new CountDownLatch(3 * CALLERS);
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int i = 0; i < 3 * CALLERS; i++) {
        String id = "r-" + i;
        statuses.add(
            executor.submit(
                () -> {
                  try (Socket caller = connect()) {
                    writeHead(caller, id, "Content-Length: " + BODY_BYTES);
                    caller.getOutputStream().write(body);
                    sent.countDown();
                    return readStatus(caller);
                  }
                }));
      }
      sent.await();
      server.awaitIdle(1);
      long held = usedHeapBytes() - heapBefore;
      released.countDown();
      for (Future<Integer> status : statuses) {
        assertThat(status.get() == 200 || status.get() == 503, is(true));
      }

      // What the fake endpoints hold of the bodies is on the same heap.
      assertThat(held, is(lessThan(MAX_HEAP_GROWTH_BYTES)));
    }
    assertThat(post("/look/1", "x").statusCode(), is(200));
  }

  private static long usedHeapBytes() {
    Runtime.getRuntime().gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
