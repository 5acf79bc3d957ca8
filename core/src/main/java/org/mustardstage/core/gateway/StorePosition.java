package org.mustardstage.core.gateway;

import com.google.common.base.Preconditions;
import java.util.Comparator;

/**
 * A position in the history of the platform's store.
 *
 * <p>A store that is restored from an older copy loses the newest part of its history and assigns
 * the same versions again to other changes. It then enters the next era, so versions of different
 * eras can't be compared with each other.
 *
 * @param era how many times the store has been restored from an older copy
 * @param version the version of the store within the era
 */
public record StorePosition(long era, long version) implements Comparable<StorePosition> {
  /** The position before the first read. */
  public static final StorePosition START = new StorePosition(0, 0);

  private static final Comparator<StorePosition> ORDER =
      Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::version);

  /** Checks that neither number is negative. */
  public StorePosition {
    Preconditions.checkArgument(era >= 0, "store era must not be negative: %s", era);
    Preconditions.checkArgument(version >= 0, "store version must not be negative: %s", version);
  }

  /** Returns whether this position belongs to a later era than {@code other}. */
  public boolean isOfLaterEraThan(StorePosition other) {
    return era > other.era;
  }

  @Override
  public int compareTo(StorePosition other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return era + "/" + version;
  }
}
