package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mustardstage.core.gateway.CallerLimits;

/** Guards the descriptors of a VM against callers that leave their connections open. */
@Timeout(60)
class IdleCallersTest extends GatewayTestBed {
  private static final int MAX_DESCRIPTORS = 40;
  private static final int CALLERS = 60;
  private static final int LONG_IDLE_MILLIS = 15_000;

  private final List<Socket> callers = new ArrayList<>();

  @Override
  int maxDescriptors() {
    return MAX_DESCRIPTORS;
  }

  @AfterEach
  void closeCallers() throws IOException {
    for (Socket caller : callers) {
      caller.close();
    }
  }

  private Socket connect() throws IOException {
    Socket caller = new Socket(InetAddress.getLoopbackAddress(), address.port());
    callers.add(caller);
    return caller;
  }

  private void use(Socket caller) throws IOException {
    caller.setSoTimeout(5_000);
    FakeEndpoint.write(
        caller,
        "GET /look/1 HTTP/1.1\r\nHost: "
            + address
            + "\r\nX-Request-Id: r-1\r\nX-Deadline-Ms: 3000\r\n\r\n");
    InputStream in = caller.getInputStream();
    String head = "";
    while (!head.endsWith("\r\n\r\n")) {
      head += (char) in.read();
    }
    assertThat(head.startsWith("HTTP/1.1 200"), is(true));
    assertThat(new String(in.readNBytes(4), StandardCharsets.US_ASCII), is("done"));
  }

  private static boolean isOpenAfter(Socket caller, int millis) throws IOException {
    caller.setSoTimeout(millis);
    try {
      return caller.getInputStream().read() >= 0;
    } catch (SocketTimeoutException e) {
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private void setTimeouts(int version, long headerMillis, long idleMillis) {
    server.onConfig(config(version, new CallerLimits(16_384, 1 << 20, headerMillis, idleMillis)));
    server.awaitIdle(1);
  }

  /** The timeout of the configuration was read and not applied. */
  @Test
  void idleTimeoutOfANewVersionAppliesToOpenConnections() throws Exception {
    Socket used = connect();
    use(used);
    Socket unused = connect();
    assertThat(isOpenAfter(used, 1_200), is(true));

    setTimeouts(2, 3_000, 200);

    assertThat(isOpenAfter(used, 5_000), is(false));
    assertThat(isOpenAfter(unused, 5_000), is(false));
  }

  @Test
  void headerTimeoutCountsFromTheFirstByte() throws Exception {
    setTimeouts(2, 1_500, LONG_IDLE_MILLIS);
    Socket caller = connect();
    assertThat(isOpenAfter(caller, 2_500), is(true));

    FakeEndpoint.write(caller, "GET /look/1 HTTP/1.1\r\n");

    assertThat(isOpenAfter(caller, 600), is(true));
    assertThat(isOpenAfter(caller, 5_000), is(false));
  }

  /** New callers were not accepted once idle connections had used up the descriptors. */
  @Test
  void longestIdleConnectionsMakeRoomForNewCallers() throws Exception {
    for (int i = 0; i < CALLERS; i++) {
      use(connect());
    }

    int open = 0;
    for (Socket caller : callers) {
      open += isOpenAfter(caller, 50) ? 1 : 0;
    }
    assertThat(open, is(lessThanOrEqualTo(MAX_DESCRIPTORS / 2)));
    assertThat(isOpenAfter(callers.getFirst(), 50), is(false));
    assertThat(isOpenAfter(callers.getLast(), 50), is(true));
  }
}
