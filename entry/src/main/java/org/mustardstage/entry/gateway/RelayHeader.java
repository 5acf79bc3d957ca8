package org.mustardstage.entry.gateway;

import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;
import java.util.List;
import java.util.Optional;

/**
 * What a VM says about a request that it relays to another VM. It is sent in the header {@link
 * #NAME}, which is honored only on connections of VMs.
 *
 * @param configVersion the configuration by which the VM took the request; the other VM must not
 *     handle it by an older one
 * @param sentAttempts how many of the attempts that the rule allows are used, or kept back for the
 *     case that this one is lost
 * @param elapsedMillis how long ago the request arrived
 */
record RelayHeader(long configVersion, int sentAttempts, long elapsedMillis) {
  static final String NAME = "Mustardstage-Relayed";

  /**
   * The name of another header, which holds the hash of the caller's API key: the other VM looks it
   * up in its own configuration. A header of its own, as earlier releases expect three numbers in
   * {@link #NAME}.
   */
  static final String KEY_HASH_NAME = "Mustardstage-Key-Hash";

  private static final int FIELDS = 3;

  /** Returns the value of the header. */
  String format() {
    return configVersion + "," + sentAttempts + "," + elapsedMillis;
  }

  /** Reads the value of the header; empty if it is malformed. */
  static Optional<RelayHeader> parse(String value) {
    List<Long> numbers =
        Splitter.on(',').splitToStream(value).map(Longs::tryParse).filter(n -> n != null).toList();
    if (numbers.size() != FIELDS || numbers.stream().anyMatch(number -> number < 0)) {
      return Optional.empty();
    }
    return Optional.of(
        new RelayHeader(numbers.get(0), (int) Math.min(numbers.get(1), 1_000), numbers.get(2)));
  }
}
