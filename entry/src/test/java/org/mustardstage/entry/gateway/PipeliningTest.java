package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mustardstage.core.id.TenantName;

/** Guards callers that send further requests before they have the first response. */
@Timeout(60)
class PipeliningTest extends GatewayTestBed {
  private static final int REJECTED_REQUESTS = 2_000;

  /** More frames than there are between the handling of a request and that of the next one. */
  private static final int FRAMES_OF_ONE_REQUEST = 100;

  private String requestText(String method, String path, String id, String body) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: "
        + address
        + "\r\nX-Request-Id: "
        + id
        + "\r\nX-Deadline-Ms: 30000\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private Socket connect() throws IOException {
    return new Socket(InetAddress.getLoopbackAddress(), address.port());
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    socket.getOutputStream().flush();
  }

  /** Reads responses until the connection ends or {@code count} are read; returns their bodies. */
  private static List<String> readBodies(Socket socket, int count) throws IOException {
    BufferedReader in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    List<String> bodies = new ArrayList<>();
    while (bodies.size() < count) {
      int length = 0;
      String line = in.readLine();
      if (line == null) {
        return bodies;
      }
      for (; !line.isEmpty(); line = in.readLine()) {
        if (line.regionMatches(true, 0, "Content-Length:", 0, 15)) {
          length = Integer.parseInt(line.substring(15).trim());
        }
      }
      char[] body = new char[length];
      int read = 0;
      while (read < length) {
        read += in.read(body, read, length - read);
      }
      bodies.add(new String(body));
    }
    return bodies;
  }

  private static String pathOf(FakeEndpoint.ReceivedRequest request) {
    String line = request.requestLine();
    return line.substring(line.indexOf(' ') + 1, line.lastIndexOf(' '));
  }

  private static void echoPath(FakeEndpoint.ReceivedRequest request, Socket socket)
      throws IOException, InterruptedException {
    if (request.requestLine().contains("slow")) {
      Thread.sleep(300);
    }
    FakeEndpoint.respondOk(request, socket, pathOf(request));
  }

  @Test
  void responsesArriveInTheOrderOfTheRequests() throws Exception {
    first.setHandler(PipeliningTest::echoPath);
    second.setHandler(PipeliningTest::echoPath);
    try (Socket caller = connect()) {
      write(
          caller,
          requestText("GET", "/look/slow", "a", "")
              + requestText("GET", "/look/2", "b", "")
              + requestText("GET", "/look/3", "c", ""));

      assertThat(readBodies(caller, 3), contains("/look/slow", "/look/2", "/look/3"));
    }
  }

  @Test
  void requestsThatArriveOneByteAtATimeAreServed() throws Exception {
    first.setHandler(PipeliningTest::echoPath);
    second.setHandler(PipeliningTest::echoPath);
    try (Socket caller = connect()) {
      caller.setTcpNoDelay(true);
      String text =
          requestText("POST", "/look/slow", "a", "xyz") + requestText("GET", "/look/2", "b", "");
      for (int i = 0; i < text.length(); i++) {
        write(caller, text.substring(i, i + 1));
      }

      assertThat(readBodies(caller, 2), contains("/look/slow", "/look/2"));
    }
  }

  /** A caller that sends many requests at once must not exhaust the stack of the traffic thread. */
  @Test
  void requestsThatAreRejectedAtOnceAreNotHandledInsideOneAnother() throws Exception {
    server.onConfig(
        KeyedRequestsTest.configWithTenants(2, Map.of(new TenantName("mill"), List.of("key"))));
    server.awaitIdle(1_000);
    AtomicInteger maxDepth = new AtomicInteger();
    server.setKeyCheck(
        () -> {
          int depth = StackWalker.getInstance().walk(frames -> (int) frames.count());
          maxDepth.accumulateAndGet(depth, Math::max);
          return false;
        });
    int one;
    try (Socket caller = connect()) {
      write(caller, requestText("GET", "/look/1", "r-1", ""));
      assertThat(readBodies(caller, 1), hasSize(1));
      one = maxDepth.get();
      assertThat(one, is(greaterThan(0)));
    }
    try (Socket caller = connect()) {
      write(caller, requestText("GET", "/look/1", "r-1", "").repeat(REJECTED_REQUESTS));
      assertThat(readBodies(caller, REJECTED_REQUESTS), hasSize(REJECTED_REQUESTS));
    }

    assertThat(maxDepth.get(), is(lessThan(one + FRAMES_OF_ONE_REQUEST)));
  }

  @Test
  void manyRequestsAtOnceAreAllAnswered() throws Exception {
    first.setHandler(PipeliningTest::echoPath);
    second.setHandler(PipeliningTest::echoPath);
    try (Socket caller = connect()) {
      StringBuilder all = new StringBuilder();
      for (int i = 0; i < 200; i++) {
        all.append(requestText("GET", "/look/" + i, "r-" + i, ""));
      }
      write(caller, all.toString());
      List<String> bodies = readBodies(caller, 200);

      for (int i = 0; i < 200; i++) {
        assertThat(bodies.get(i), is("/look/" + i));
      }
    }
  }

  @Test
  void atMostOneRequestOfAConnectionRunsAtATime() throws Exception {
    publish(first);
    CountDownLatch released = new CountDownLatch(1);
    first.setHandler(
        (request, socket) -> {
          released.await();
          FakeEndpoint.respondOk(request, socket, "done");
        });
    try (Socket caller = connect()) {
      for (int i = 0; i < 50; i++) {
        write(caller, requestText("GET", "/look/" + i, "r-" + i, ""));
      }
      Thread.sleep(300);
      assertThat(first.receivedRequests(), hasSize(lessThanOrEqualTo(1)));
      released.countDown();
      assertThat(readBodies(caller, 50), hasSize(50));
    }
  }

  @Test
  void requestBehindAResponseThatClosesTheConnectionDoesNotRun() throws Exception {
    first.setHandler(PipeliningTest::echoPath);
    second.setHandler(PipeliningTest::echoPath);
    try (Socket caller = connect()) {
      write(
          caller,
          requestText("GET", "/look/slow", "a", "")
              + requestText("POST", "/book/2", "b", "x")
              + requestText("POST", "/book/3", "c", "x"));
      Thread.sleep(100);
      server.rejectNewRequests();
      List<String> bodies = readBodies(caller, 3);

      assertThat(bodies, contains("/look/slow"));
    }
    long booked =
        first.receivedRequests().stream().filter(r -> r.requestLine().contains("/book/")).count();
    assertThat(booked, is(0L));
  }

  @Test
  @Tag("known-red")
  void nothingMoreRunsAfterTheCallerHasLeft() throws Exception {
    publish(first);
    CountDownLatch arrived = new CountDownLatch(1);
    first.setHandler(
        (request, socket) -> {
          arrived.countDown();
          Thread.sleep(500);
          FakeEndpoint.respondOk(request, socket, "done");
        });
    try (Socket caller = connect()) {
      write(
          caller,
          requestText("GET", "/look/1", "a", "")
              + requestText("GET", "/look/2", "b", "")
              + requestText("GET", "/look/3", "c", ""));
      arrived.await();
    }
    Thread.sleep(1_500);

    assertThat(first.receivedRequests(), hasSize(1));
  }

  @Test
  void timeoutOfTheFirstRequestLeavesTheSecondWhole() throws Exception {
    publish(first);
    first.setHandler(
        (request, socket) -> {
          if (request.requestLine().contains("/brief/")) {
            Thread.sleep(600);
            socket.close();
            return;
          }
          FakeEndpoint.respondOk(request, socket, "second");
        });
    try (Socket caller = connect()) {
      write(
          caller, requestText("GET", "/brief/1", "a", "") + requestText("GET", "/look/2", "b", ""));

      assertThat(readBodies(caller, 2), contains("TIMEOUT", "second"));
    }
  }
}
