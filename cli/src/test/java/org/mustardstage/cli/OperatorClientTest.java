package org.mustardstage.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import com.google.common.net.HostAndPort;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards operators against results that are read from what is no response. */
@Timeout(60)
class OperatorClientTest {
  private ServerSocket entryVm;
  private OperatorClient client;
  private volatile String response = "";
  private volatile String repeated = "";

  @BeforeEach
  void start() throws IOException {
    entryVm = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
    client =
        new OperatorClient(List.of(HostAndPort.fromParts("127.0.0.1", entryVm.getLocalPort())));
  }

  @AfterEach
  void stop() throws IOException {
    entryVm.close();
  }

  private void accept() {
    try {
      while (true) {
        try (Socket socket = entryVm.accept()) {
          respond(socket);
        }
      }
    } catch (IOException e) {
      // Thrown when the test closes the server socket, or by a client that has closed its own.
    }
  }

  private void respond(Socket socket) throws IOException {
    BufferedReader in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    String line = in.readLine();
    while (line != null && !line.isEmpty()) {
      line = in.readLine();
    }
    OutputStream out = socket.getOutputStream();
    out.write(response.getBytes(StandardCharsets.ISO_8859_1));
    while (!repeated.isEmpty()) {
      out.write(repeated.getBytes(StandardCharsets.ISO_8859_1));
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nMustardstage-Version: 4\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 \r\nMustardstage-Version:\t4 \r\nConnection: close\r\n\r\n{}",
        "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK\r\nMustardstage-Version: 4\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nMustardstage-Version: 4\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\n{}\r\n0\r\nX-Sum: 1\r\n\r\n",
      })
  void validResponseIsRead(String valid) {
    response = valid;

    assertThat(client.get("/v1/status"), is(new CallResult.Response(200, "4", "{}")));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nX Filler: a\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nX-\u0001Filler: a\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nX-Filler : a\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nX-Filler: a\u0000b\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nX-Filler: \u0001a\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nX-Filler: a\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nX-Filler: a\r\n b\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\n: a\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 O\u0001K\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2 \r\n{}\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nA B: c\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}",
      })
  void malformedResponseIsIncomplete(String malformed) {
    response = malformed;

    assertThat(client.get("/v1/status"), is(instanceOf(CallResult.Incomplete.class)));
  }

  /** What an entry VM sends once, and then again and again. */
  enum Endless {
    HEADER("HTTP/1.1 200 OK\r\nX-Filler: ", "x".repeat(8_000)),
    HEADERS("HTTP/1.1 200 OK\r\n", "a: b\r\n".repeat(1_000)),
    BODY("HTTP/1.1 200 OK\r\n\r\n", "x".repeat(8_000)),
    INTERIM_RESPONSES("", "HTTP/1.1 100 Continue\r\n\r\n".repeat(500));

    private final String start;
    private final String repeated;

    Endless(String start, String repeated) {
      this.start = start;
      this.repeated = repeated;
    }
  }

  /** What is sent without end must not fill the memory. */
  @ParameterizedTest
  @EnumSource
  void responseWithoutEndIsIncomplete(Endless endless) {
    response = endless.start;
    repeated = endless.repeated;

    assertThat(client.get("/v1/status"), is(instanceOf(CallResult.Incomplete.class)));
  }

  @Test
  void vmThatIsNotReachedIsUnreachable() throws IOException {
    int port;
    try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = unused.getLocalPort();
    }
    OperatorClient other = new OperatorClient(List.of(HostAndPort.fromParts("127.0.0.1", port)));

    assertThat(other.get("/v1/status"), is(instanceOf(CallResult.Unreachable.class)));
  }
}
