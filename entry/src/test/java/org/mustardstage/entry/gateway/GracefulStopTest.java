package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Stops a gateway under load. Guards against requests that an endpoint ran for nobody. */
@Timeout(60)
class GracefulStopTest extends GatewayTestBed {
  private static final long STOP_TIMEOUT_MILLIS = 5_000;

  /** A connection that the gateway has lost sight of ends only with the process. */
  private static final int READ_TIMEOUT_MILLIS = 2_000;

  private void stopGracefully() {
    server.rejectNewRequests();
    server.awaitIdle(STOP_TIMEOUT_MILLIS);
    stopServer();
  }

  private Socket connect() throws IOException {
    Socket caller = new Socket(InetAddress.getLoopbackAddress(), address.port());
    caller.setSoTimeout(READ_TIMEOUT_MILLIS);
    return caller;
  }

  private void send(Socket caller, String path, String id) throws IOException {
    caller
        .getOutputStream()
        .write(
            ("POST "
                    + path
                    + " HTTP/1.1\r\nHost: "
                    + address
                    + "\r\nX-Request-Id: "
                    + id
                    + "\r\nX-Deadline-Ms: 30000\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
  }

  /** The caller reads slowly, so most of the response is still in the buffers of the gateway. */
  @Test
  void responseThatIsBeingWrittenIsNotCut() throws Exception {
    int bodyBytes = 6 << 20;
    String body = "x".repeat(bodyBytes);
    publish(first);
    first.setHandler((request, socket) -> FakeEndpoint.respondOk(request, socket, body));
    try (Socket caller = connect()) {
      caller.setReceiveBufferSize(16 << 10);
      send(caller, "/book/1", "r-1");
      InputStream in = caller.getInputStream();
      int read = in.readNBytes(1_000).length;
      Thread stopper = Thread.ofVirtual().start(this::stopGracefully);
      byte[] block = new byte[256 << 10];
      for (int n = in.read(block); n >= 0; n = in.read(block)) {
        read += n;
        Thread.sleep(20);
      }
      stopper.join();

      assertThat(read, is(greaterThan(bodyBytes)));
    }
  }

  @Test
  void everyRequestThatAnEndpointReceivedIsAnswered() throws Exception {
    AtomicInteger nextId = new AtomicInteger();
    Set<String> answered = ConcurrentHashMap.newKeySet();
    AtomicBoolean stopped = new AtomicBoolean();
    FakeEndpoint.Handler handler =
        (request, socket) -> {
          Thread.sleep(30);
          FakeEndpoint.respondOk(request, socket, "y".repeat(20_000));
        };
    first.setHandler(handler);
    second.setHandler(handler);
    CountDownLatch warm = new CountDownLatch(50);
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int i = 0; i < 40; i++) {
        executor.execute(
            () -> {
              while (!stopped.get()) {
                callUntilClosed(nextId, answered, warm);
              }
            });
      }
      warm.await();
      stopGracefully();
      stopped.set(true);
    }
    for (FakeEndpoint endpoint : List.of(first, second)) {
      for (FakeEndpoint.ReceivedRequest request : endpoint.receivedRequests()) {
        String id = request.header("X-Request-Id");
        assertThat("request " + id + " has its response", answered.contains(id), is(true));
      }
    }
  }

  private void callUntilClosed(AtomicInteger nextId, Set<String> answered, CountDownLatch warm) {
    try (Socket caller = connect()) {
      for (int i = 0; i < 5; i++) {
        String id = "r-" + nextId.incrementAndGet();
        send(caller, "/book/" + id, id);
        if (!readResponse(caller.getInputStream())) {
          return;
        }
        answered.add(id);
        warm.countDown();
      }
    } catch (IOException e) {
      // The gateway closed the connection; the test looks at what the endpoints received.
    }
  }

  /** Returns whether a complete response arrived. */
  private static boolean readResponse(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (!head.toString().endsWith("\r\n\r\n")) {
      int c = in.read();
      if (c < 0) {
        return false;
      }
      head.append((char) c);
    }
    String text = head.toString().toLowerCase(Locale.ROOT);
    int at = text.indexOf("content-length:") + "content-length:".length();
    int length = Integer.parseInt(text.substring(at, text.indexOf('\r', at)).trim());
    return in.readNBytes(length).length == length;
  }
}
