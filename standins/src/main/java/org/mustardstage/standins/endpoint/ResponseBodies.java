package org.mustardstage.standins.endpoint;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Arrays;

/**
 * Creates response bodies that hold the token of the request and their own length, so that a caller
 * detects a response to another request and a truncated response.
 */
public final class ResponseBodies {
  private static final byte PADDING = '.';

  private ResponseBodies() {}

  /**
   * Returns the body for {@code token}, padded to {@code lengthBytes}. It is longer only if its
   * header is.
   */
  public static byte[] create(String token, int lengthBytes) {
    int headerBytes = header(token, lengthBytes).length;
    int totalBytes = Math.max(lengthBytes, headerBytes);
    byte[] header = header(token, totalBytes);
    byte[] body = Arrays.copyOf(header, Math.max(totalBytes, header.length));
    Arrays.fill(body, header.length, body.length, PADDING);
    return body;
  }

  /** Returns whether {@code body} is complete and belongs to {@code token}. */
  public static boolean matches(byte[] body, String token) {
    return Arrays.equals(body, create(token, body.length));
  }

  private static byte[] header(String token, int lengthBytes) {
    return (token + "\n" + lengthBytes + "\n").getBytes(UTF_8);
  }
}
