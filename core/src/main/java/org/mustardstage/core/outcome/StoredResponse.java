package org.mustardstage.core.outcome;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * A whole answer of an endpoint, kept for the retries of its caller.
 *
 * @param status the HTTP status
 * @param headers the headers, in order
 * @param body the body; its bytes are not copied and must not be changed
 */
public record StoredResponse(int status, List<Header> headers, Body body) {
  private static final int HEADER_OVERHEAD_BYTES = 64;

  /** Copies the headers. */
  public StoredResponse {
    headers = ImmutableList.copyOf(headers);
  }

  /** Returns about how much memory the answer takes. */
  public long sizeBytes() {
    long headerBytes =
        headers.stream()
            .mapToLong(h -> HEADER_OVERHEAD_BYTES + h.name().length() + h.value().length())
            .sum();
    return headerBytes + body.bytes().length;
  }

  /**
   * One header line.
   *
   * @param name the name of the header
   * @param value its value
   */
  public record Header(String name, String value) {}

  /** The bytes of a body. */
  public static final class Body {
    private final byte[] bytes;

    /** Takes the bytes without a copy. */
    public Body(byte[] bytes) {
      this.bytes = bytes;
    }

    /** Returns the bytes without a copy. */
    public byte[] bytes() {
      return bytes;
    }
  }
}
