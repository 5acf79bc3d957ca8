package org.mustardstage.entry.gateway;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Decides when this VM writes its row to the platform's list of VMs: once in each era of the store.
 * A store that was restored from an older copy may have lost the row, also one that it acknowledged
 * while the restore was not known here yet.
 */
final class StoreAnnouncement {
  private static final long RETRY_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private OptionalLong announcedEra = OptionalLong.empty();
  private long lastTryNanos = Long.MIN_VALUE / 2;

  /** Returns whether to write the row now, in which case a try is recorded. */
  boolean tryNow(long nowNanos, long knownEra) {
    boolean announced = announcedEra.isPresent() && announcedEra.getAsLong() >= knownEra;
    if (announced || nowNanos - lastTryNanos < RETRY_INTERVAL_NANOS) {
      return false;
    }
    lastTryNanos = nowNanos;
    return true;
  }

  /**
   * Records that the store acknowledged the row.
   *
   * @param eraAtTry the era that was known when the row was sent; the acknowledgement proves no
   *     more than that the row was stored in this era or a later one
   */
  void onAcknowledged(long eraAtTry) {
    announcedEra = OptionalLong.of(eraAtTry);
  }

  /** Makes the row due again, as it has changed. */
  void reset() {
    announcedEra = OptionalLong.empty();
  }
}
