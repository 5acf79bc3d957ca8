package org.mustardstage.core.manifest;

import com.google.common.base.Preconditions;

/** An IP address and a port. */
public record HostAndPort(String host, int port) {
  private static final int MAX_PORT = 65_535;

  /** Checks that the port is in range. */
  public HostAndPort {
    Preconditions.checkArgument(
        port > 0 && port <= MAX_PORT, "port must be from 1 to 65535: %s", port);
  }

  /**
   * Parses an address written as {@code host:port}.
   *
   * @throws IllegalArgumentException if {@code text} has no port or a malformed one
   */
  public static HostAndPort parse(String text) {
    int colon = text.lastIndexOf(':');
    Preconditions.checkArgument(colon > 0, "address must be host:port: %s", text);
    return new HostAndPort(
        text.substring(0, colon), Integer.parseInt(text, colon + 1, text.length(), 10));
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
