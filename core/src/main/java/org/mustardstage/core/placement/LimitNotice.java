package org.mustardstage.core.placement;

import com.google.common.base.Preconditions;

/** What a response of an endpoint says about the rate of requests that the endpoint takes. */
public sealed interface LimitNotice {
  /** Neither names a limit nor shows that there is none. */
  LimitNotice UNKNOWN = new Unknown();

  /** The response names no limit, so none is in force. */
  LimitNotice UNLIMITED = new Unlimited();

  /**
   * The endpoint takes at most {@code requestsPerSecond}, from all VMs together, until a response
   * says otherwise.
   */
  record Limited(double requestsPerSecond) implements LimitNotice {
    /** Checks that the rate is finite and not negative. */
    public Limited {
      Preconditions.checkArgument(
          requestsPerSecond >= 0 && requestsPerSecond < Double.POSITIVE_INFINITY,
          "requestsPerSecond must be finite and not negative: %s",
          requestsPerSecond);
    }
  }

  /** See {@link #UNLIMITED}. */
  record Unlimited() implements LimitNotice {}

  /** See {@link #UNKNOWN}. */
  record Unknown() implements LimitNotice {}
}
