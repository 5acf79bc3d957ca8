package org.mustardstage.core.http;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds what a peer may send as the response to one request. Interim responses, responses to other
 * requests, trailers and chunk extensions count together with the head, as nobody needs many of
 * them.
 *
 * @param maxHeadBytes the size of all that is not body
 * @param maxHeaders the number of header and trailer lines; each takes several times its size in
 *     memory
 * @param maxBodyBytes the size of the body
 */
public record ResponseLimits(int maxHeadBytes, int maxHeaders, long maxBodyBytes) {
  private static final int DEFAULT_MAX_HEAD_BYTES = 64 << 10;
  private static final int DEFAULT_MAX_HEADERS = 256;

  /** Checks that the limits are positive. */
  public ResponseLimits {
    checkArgument(maxHeadBytes > 0, "maxHeadBytes must be positive: %s", maxHeadBytes);
    checkArgument(maxHeaders > 0, "maxHeaders must be positive: %s", maxHeaders);
    checkArgument(maxBodyBytes > 0, "maxBodyBytes must be positive: %s", maxBodyBytes);
  }

  /** Returns the usual limits on heads, and {@code maxBodyBytes} on the body. */
  public static ResponseLimits withBodyOf(long maxBodyBytes) {
    return new ResponseLimits(DEFAULT_MAX_HEAD_BYTES, DEFAULT_MAX_HEADERS, maxBodyBytes);
  }
}
