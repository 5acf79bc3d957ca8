package org.mustardstage.core.outcome;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * A complete response of an endpoint, stored for retries with the same idempotency key.
 *
 * @param status the HTTP status
 * @param headers the headers, in order
 * @param body the body; its bytes are not copied and must not be changed
 */
public record StoredResponse(int status, List<Header> headers, Body body) {
  private static final int HEADER_OVERHEAD_BYTES = 64;

  /** Makes an immutable copy of the headers. */
  public StoredResponse {
    headers = ImmutableList.copyOf(headers);
  }

  /** Returns the approximate memory size of the response. */
  public long sizeBytes() {
    long headerBytes =
        headers.stream()
            .mapToLong(h -> HEADER_OVERHEAD_BYTES + h.name().length() + h.value().length())
            .sum();
    return headerBytes + body.bytes().length;
  }

  /**
   * An HTTP header.
   *
   * @param name the name of the header
   * @param value the value of the header
   */
  public record Header(String name, String value) {}

  /** The bytes of a response body. */
  public static final class Body {
    private final byte[] bytes;

    /** Creates a body that refers to {@code bytes} without copying them. */
    public Body(byte[] bytes) {
      this.bytes = bytes;
    }

    /** Returns the bytes without a copy. */
    public byte[] bytes() {
      return bytes;
    }
  }
}
