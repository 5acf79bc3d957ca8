package org.mustardstage.entry.traffic;

import io.activej.http.HttpHeaderValue;
import java.util.Arrays;

/**
 * A header value in milliseconds that can be changed until the request is sent. The deadline header
 * is only known once the connection is open, so the value has a fixed width and changes in place.
 */
final class MillisHeaderValue {
  private static final int DIGITS = 10;
  private static final int RADIX = 10;

  private final byte[] digits = new byte[DIGITS];

  MillisHeaderValue() {
    Arrays.fill(digits, (byte) '0');
  }

  /** Returns the header value, which reflects later changes until the request is sent. */
  HttpHeaderValue toHeaderValue() {
    return HttpHeaderValue.ofBytes(digits);
  }

  /** Sets the number of milliseconds; negative values become 0. */
  void set(long millis) {
    long remaining = Math.max(0, millis);
    for (int i = DIGITS - 1; i >= 0; i--) {
      digits[i] = (byte) ('0' + remaining % RADIX);
      remaining /= RADIX;
    }
  }
}
