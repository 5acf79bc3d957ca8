package org.mustardstage.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/** The objects that an endpoint handled last, as far as this scheduler sent them there. */
final class WarmKeys {
  /** More than any endpoint is known to keep; it bounds memory only. */
  private static final int MAX_KEYS = 512;

  /** An object that was not asked for in this time has probably been pushed out. */
  private static final long EVICTION_NANOS = 30_000_000_000L;

  private final Map<String, Long> handledNanos =
      new LinkedHashMap<>(16, 0.75f, /* accessOrder= */ true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_KEYS;
        }
      };

  /** Notes that the endpoint handled {@code object}. */
  void recordRequest(long nowNanos, String object) {
    handledNanos.put(object, nowNanos);
  }

  /** Returns whether the endpoint handled {@code object} lately. */
  boolean contains(long nowNanos, String object) {
    Long nanos = handledNanos.get(object);
    return nanos != null && nowNanos - nanos < EVICTION_NANOS;
  }

  /** Forgets everything: the endpoint has started anew. */
  void clear() {
    handledNanos.clear();
  }
}
