package org.mustardstage.core.tenant;

import com.google.common.base.Preconditions;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import com.google.common.primitives.Longs;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

/**
 * The first 128 bits of the SHA-256 hash of an API key. A VM keeps, compares and relays only this,
 * so that no key stands in memory, in a message or in a log for longer than its request is read. A
 * hash that can't be inverted is used as it also leaves the VM; the keys must be hard to guess for
 * that, as for any use of a key.
 *
 * @param high the first 64 bits
 * @param low the other 64 bits
 */
public record ApiKeyHash(long high, long low) {
  /** The longest API key, which bounds the work for a request with a false one. */
  public static final int MAX_KEY_CHARS = 256;

  private static final int DIGITS = 32;
  private static final BaseEncoding HEX = BaseEncoding.base16().lowerCase();

  /**
   * Returns the hash of {@code key}.
   *
   * @throws IllegalArgumentException if {@link #isValidKey} is false of the key; the message does
   *     not contain the key
   */
  public static ApiKeyHash of(String key) {
    Preconditions.checkArgument(
        isValidKey(key),
        "an API key must be 1 to %s printable ASCII characters without spaces",
        MAX_KEY_CHARS);
    byte[] hash = Hashing.sha256().hashString(key, StandardCharsets.US_ASCII).asBytes();
    return new ApiKeyHash(
        Longs.fromBytes(hash[0], hash[1], hash[2], hash[3], hash[4], hash[5], hash[6], hash[7]),
        Longs.fromBytes(
            hash[8], hash[9], hash[10], hash[11], hash[12], hash[13], hash[14], hash[15]));
  }

  /** Returns whether {@code key} can be an API key: short, and the same in every HTTP header. */
  public static boolean isValidKey(String key) {
    return !key.isEmpty()
        && key.length() <= MAX_KEY_CHARS
        && key.chars().allMatch(c -> c > ' ' && c <= '~');
  }

  /** Reads what {@link #toString} returns; empty if {@code text} is malformed. */
  public static Optional<ApiKeyHash> parse(String text) {
    if (text.length() != DIGITS || !HEX.canDecode(text.toLowerCase(Locale.ROOT))) {
      return Optional.empty();
    }
    byte[] bytes = HEX.decode(text.toLowerCase(Locale.ROOT));
    return Optional.of(
        new ApiKeyHash(
            Longs.fromByteArray(bytes),
            Longs.fromBytes(
                bytes[8], bytes[9], bytes[10], bytes[11], bytes[12], bytes[13], bytes[14],
                bytes[15])));
  }

  /** Returns the hash as 32 hexadecimal digits. */
  @Override
  public String toString() {
    return HEX.encode(Longs.toByteArray(high)) + HEX.encode(Longs.toByteArray(low));
  }
}
