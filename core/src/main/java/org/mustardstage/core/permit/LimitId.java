package org.mustardstage.core.permit;

import com.google.common.base.Preconditions;
import org.mustardstage.core.id.EndpointId;

/** Identifies a concurrency limit, such as the slots of an endpoint. */
public record LimitId(String value) implements Comparable<LimitId> {
  private static final String SLOTS_PREFIX = "slots/";

  /** Checks that the value is not empty. */
  public LimitId {
    Preconditions.checkArgument(!value.isEmpty(), "LimitId must not be empty");
  }

  /** Returns the limit of the slots of {@code endpoint}. */
  public static LimitId slotsOf(EndpointId endpoint) {
    return new LimitId(SLOTS_PREFIX + endpoint.value());
  }

  @Override
  public int compareTo(LimitId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
