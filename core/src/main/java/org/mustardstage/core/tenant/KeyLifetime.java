package org.mustardstage.core.tenant;

import com.google.common.base.Preconditions;
import java.util.OptionalLong;

/**
 * How long a VM accepts API keys without news of the configuration. Handles the VM that is out of
 * touch with the store while a key is taken away: without a lifetime it goes on serving by the keys
 * that it knows, with one it serves nobody by a key that may be gone. Safe on any thread.
 */
public final class KeyLifetime {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final OptionalLong lifetimeMillis;
  private volatile OptionalLong newsNanos = OptionalLong.empty();

  /**
   * Creates a lifetime that has not begun: without news, no key is accepted, as what a VM that has
   * just started hears from others may be old.
   *
   * @param lifetimeMillis how long the last known keys are accepted; empty if without end, also
   *     before the first news
   */
  public KeyLifetime(OptionalLong lifetimeMillis) {
    Preconditions.checkArgument(
        lifetimeMillis.orElse(1) > 0, "lifetime of keys must be positive: %s", lifetimeMillis);
    this.lifetimeMillis = lifetimeMillis;
  }

  /** Records that the configuration was the newest one of the store at {@code nowNanos}. */
  public void recordCurrent(long nowNanos) {
    newsNanos = OptionalLong.of(nowNanos);
  }

  /** Returns whether the known keys may still be accepted. */
  public boolean acceptsKeys(long nowNanos) {
    if (lifetimeMillis.isEmpty()) {
      return true;
    }
    OptionalLong news = newsNanos;
    return news.isPresent()
        && nowNanos - news.getAsLong() <= lifetimeMillis.getAsLong() * NANOS_PER_MILLI;
  }

  /**
   * Returns how long a call for news may wait for a change, so that its answer renews the lifetime
   * in time.
   *
   * @param usualMillis the wait without a lifetime
   */
  public long callWaitMillis(long usualMillis) {
    return lifetimeMillis.isEmpty()
        ? usualMillis
        : Math.min(usualMillis, lifetimeMillis.getAsLong() / 3);
  }
}
