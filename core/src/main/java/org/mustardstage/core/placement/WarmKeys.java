package org.mustardstage.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/** The affinity keys of the requests that this scheduler recently sent to an endpoint. */
final class WarmKeys {
  /** Bounds memory; more than any endpoint is known to cache. */
  private static final int MAX_KEYS = 512;

  /** The endpoint has probably evicted a key that was not requested for this long. */
  private static final long EVICTION_NANOS = 30_000_000_000L;

  private final Map<String, Long> requestedNanos =
      new LinkedHashMap<>(16, 0.75f, /* accessOrder= */ true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_KEYS;
        }
      };

  /** Records a request for {@code affinityKey} at the endpoint. */
  void recordRequest(long nowNanos, String affinityKey) {
    requestedNanos.put(affinityKey, nowNanos);
  }

  /** Returns whether {@code affinityKey} was requested recently and is probably warm. */
  boolean contains(long nowNanos, String affinityKey) {
    Long nanos = requestedNanos.get(affinityKey);
    return nanos != null && nowNanos - nanos < EVICTION_NANOS;
  }

  /** Removes all keys, as an endpoint that restarts loses its cache. */
  void clear() {
    requestedNanos.clear();
  }
}
