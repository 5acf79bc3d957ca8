package org.mustardstage.entry.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * Finds loopback ports to listen on. They are below the range from which the system takes the ports
 * of outgoing connections, which could otherwise take a port before a test listens on it.
 */
final class TestPorts {
  private static final int MIN_PORT = 12_000;
  private static final int MAX_PORT = 32_000;
  private static final int MAX_TRIES = 100;

  /** Ports that were returned, on which the test may not listen yet. */
  private static final Set<Integer> RETURNED = ConcurrentHashMap.newKeySet();

  private TestPorts() {}

  /** Returns an address on which nothing listens, and which was not returned before. */
  static HostAndPort freeAddress() throws IOException {
    IOException last = null;
    for (int i = 0; i < MAX_TRIES; i++) {
      int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
      if (!RETURNED.add(port)) {
        continue;
      }
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return new HostAndPort("127.0.0.1", socket.getLocalPort());
      } catch (IOException e) {
        last = e;
      }
    }
    throw new IOException("found no free port in " + MAX_TRIES + " tries", last);
  }
}
