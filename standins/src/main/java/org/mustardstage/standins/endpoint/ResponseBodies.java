package org.mustardstage.standins.endpoint;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Arrays;

/** Makes bodies that a caller can tell from those of other requests, and from parts of its own. */
public final class ResponseBodies {
  private static final byte PADDING = '.';

  private ResponseBodies() {}

  /** Returns a body of {@code lengthBytes} or a little more that belongs to {@code token}. */
  public static byte[] create(String token, int lengthBytes) {
    int headerBytes = header(token, lengthBytes).length;
    int totalBytes = Math.max(lengthBytes, headerBytes);
    byte[] start = header(token, totalBytes);
    byte[] body = Arrays.copyOf(start, Math.max(totalBytes, start.length));
    Arrays.fill(body, start.length, body.length, PADDING);
    return body;
  }

  /** Returns whether {@code body} is a whole body that belongs to {@code token}. */
  public static boolean matches(byte[] body, String token) {
    return Arrays.equals(body, create(token, body.length));
  }

  private static byte[] header(String token, int lengthBytes) {
    return (token + "\n" + lengthBytes + "\n").getBytes(UTF_8);
  }
}
