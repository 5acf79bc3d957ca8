package org.mustardstage.standins.bench.traffic;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import org.mustardstage.core.manifest.HostAndPort;

/** Allocates loopback addresses with free ports. */
final class LoopbackAddresses {
  private LoopbackAddresses() {}

  static HostAndPort withFreePort() {
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new HostAndPort("127.0.0.1", probe.getLocalPort());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static InetSocketAddress toSocketAddress(HostAndPort address) {
    return new InetSocketAddress(address.host(), address.port());
  }
}
