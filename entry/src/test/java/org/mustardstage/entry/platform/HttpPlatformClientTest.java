package org.mustardstage.entry.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.activej.eventloop.Eventloop;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.entry.http.MalformedResponse;

/** Guards against rows that are read from what is no response of the platform. */
@Timeout(60)
class HttpPlatformClientTest {
  private final Eventloop eventloop = Eventloop.create();
  private ServerSocket platform;
  private HttpPlatformClient client;
  private volatile String response;

  @BeforeEach
  void start() throws IOException {
    platform = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
    client =
        new HttpPlatformClient(
            eventloop,
            Duration.ofSeconds(2),
            new HostAndPort("127.0.0.1", platform.getLocalPort()),
            new ZoneId("north-a"));
    eventloop.keepAlive(true);
    Thread.ofPlatform().daemon().start(eventloop);
  }

  @AfterEach
  void stop() throws IOException {
    eventloop.execute(eventloop::breakEventloop);
    platform.close();
  }

  private void accept() {
    try {
      while (true) {
        respond(platform.accept());
      }
    } catch (IOException e) {
      // Thrown when the test closes the server socket.
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
    socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
  }

  @ParameterizedTest
  @EnumSource
  void malformedResponseIsNoAnswer(MalformedResponse malformed) {
    response = malformed.toText("");

    assertThat(
        eventloop.submit(() -> client.get("0".repeat(64))).join().getLeft(),
        is(instanceOf(PlatformFailure.NoAnswer.class)));
  }

  /** Whether the transaction was committed is not known. */
  @ParameterizedTest
  @EnumSource
  void outcomeOfTransactionWithMalformedResponseIsUnknown(MalformedResponse malformed) {
    response = malformed.toText("");

    assertThat(
        eventloop.submit(() -> client.commit(new Transaction(List.of(), List.of()))).join(),
        is(instanceOf(TransactionResult.OutcomeUnknown.class)));
  }
}
