package org.mustardstage.core.overload;

import com.google.common.base.Preconditions;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Bounds the memory that the buffers of all messages in transfer hold together.
 *
 * <p>Handles peers that send without end on many connections at once. When the bound is exceeded,
 * the largest buffer has to go: ordinary messages are small, so those that grow without end are
 * dropped first, and the others are not affected.
 *
 * @param <K> identifies a buffer
 */
public final class BufferBudget<K> {
  private final long capacityBytes;
  private final Map<K, Long> bytesByBuffer = new HashMap<>();

  /** Buffers that count towards the capacity but must not be dropped. */
  private final Set<K> kept = new HashSet<>();

  private long heldBytes;

  /** Creates a budget of {@code capacityBytes} for all buffers together. */
  public BufferBudget(long capacityBytes) {
    Preconditions.checkArgument(
        capacityBytes > 0, "capacityBytes must be positive: %s", capacityBytes);
    this.capacityBytes = capacityBytes;
  }

  /**
   * Sets the size of a buffer that is not kept.
   *
   * @return the buffer that must be dropped, if all of them together are too large; the caller then
   *     calls {@link #remove} for it
   */
  public Optional<K> resize(K buffer, long bytes) {
    Long before = bytesByBuffer.put(buffer, bytes);
    heldBytes += bytes - (before == null ? 0 : before);
    return heldBytes <= capacityBytes
        ? Optional.empty()
        : bytesByBuffer.entrySet().stream()
            .filter(entry -> !kept.contains(entry.getKey()))
            .max(Map.Entry.comparingByValue())
            .map(Map.Entry::getKey);
  }

  /**
   * Records that a buffer must not be dropped any more, as its message is complete and in use. It
   * counts until it is removed.
   */
  public void keep(K buffer) {
    Preconditions.checkArgument(
        bytesByBuffer.containsKey(buffer), "buffer must have a size before it is kept: %s", buffer);
    kept.add(buffer);
  }

  /** Records that a buffer is gone. */
  public void remove(K buffer) {
    kept.remove(buffer);
    Long bytes = bytesByBuffer.remove(buffer);
    heldBytes -= bytes == null ? 0 : bytes;
  }

  /** Returns the size of all buffers together. */
  public long heldBytes() {
    return heldBytes;
  }
}
