package org.mustardstage.core.hedge;

import com.google.common.base.Preconditions;

/**
 * How much extra work operators accept for faster responses.
 *
 * @param extraShare the number of second attempts that all VMs together may send, as a share of the
 *     first attempts at a service; 0 switches hedging off
 */
public record HedgeSettings(double extraShare) {
  /** No hedging. */
  public static final HedgeSettings OFF = new HedgeSettings(0);

  /** Checks the range. */
  public HedgeSettings {
    Preconditions.checkArgument(
        extraShare >= 0 && extraShare <= 0.2, "extra share must be in [0, 0.2]: %s", extraShare);
  }

  /** Returns whether requests may be hedged. */
  public boolean isOn() {
    return extraShare > 0;
  }
}
