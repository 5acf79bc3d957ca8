package org.mustardstage.standins.platform;

import com.google.common.hash.Hashing;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Stores byte arrays in memory under their SHA-256 hash. */
final class ObjectStore {
  private final Map<String, byte[]> objects = new HashMap<>();

  Optional<byte[]> get(String hash) {
    return Optional.ofNullable(objects.get(hash));
  }

  /** Stores {@code bytes} if {@code hash} is their hash; returns whether it is. */
  boolean put(String hash, byte[] bytes) {
    boolean matches = Hashing.sha256().hashBytes(bytes).toString().equals(hash);
    if (matches) {
      objects.put(hash, bytes);
    }
    return matches;
  }
}
