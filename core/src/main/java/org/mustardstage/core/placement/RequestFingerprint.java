package org.mustardstage.core.placement;

import com.google.common.base.Preconditions;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Identifies a request when it comes again, at any VM and under another request id: requests with
 * the same path, caller and body have the same fingerprint.
 *
 * @param value a hash of 128 bits as 32 hexadecimal digits
 */
public record RequestFingerprint(String value) {
  private static final int DIGITS = 32;

  /** Checks the number of digits. */
  public RequestFingerprint {
    Preconditions.checkArgument(
        value.length() == DIGITS, "fingerprint must have %s digits: %s", DIGITS, value);
  }

  /**
   * Returns the fingerprint of a request.
   *
   * @param path the path and query as the caller wrote them
   * @param caller what the request says of its caller; not the address it came from, which is
   *     another one when a request comes again by another way
   */
  public static RequestFingerprint of(String path, String caller, byte[] body) {
    return new RequestFingerprint(
        Hashing.murmur3_128()
            .newHasher()
            .putInt(path.length())
            .putString(path, StandardCharsets.UTF_8)
            .putInt(caller.length())
            .putString(caller, StandardCharsets.UTF_8)
            .putBytes(body)
            .hash()
            .toString());
  }

  @Override
  public String toString() {
    return value;
  }
}
