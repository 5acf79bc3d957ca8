package org.mustardstage.entry.traffic;

import io.activej.http.HttpHeaderValue;
import java.util.Arrays;

/**
 * A number of milliseconds in a header that is set at the last moment before the request is sent,
 * after its connection was made.
 */
final class MillisHeaderValue {
  private static final int DIGITS = 10;
  private static final int RADIX = 10;

  private final byte[] digits = new byte[DIGITS];

  MillisHeaderValue() {
    Arrays.fill(digits, (byte) '0');
  }

  /** Returns the header value, which follows later changes until the request is sent. */
  HttpHeaderValue toHeaderValue() {
    return HttpHeaderValue.ofBytes(digits);
  }

  /** Changes the number. */
  void set(long millis) {
    long rest = Math.max(0, millis);
    for (int i = DIGITS - 1; i >= 0; i--) {
      digits[i] = (byte) ('0' + rest % RADIX);
      rest /= RADIX;
    }
  }
}
