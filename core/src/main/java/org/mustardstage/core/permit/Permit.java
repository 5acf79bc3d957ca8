package org.mustardstage.core.permit;

import com.google.common.base.Preconditions;

/**
 * One unit of a limit: allows one request at a time.
 *
 * @param limit the limit
 * @param number the number of the permit within the limit, from 0
 */
public record Permit(LimitId limit, int number) {
  /** Checks that the number is not negative. */
  public Permit {
    Preconditions.checkArgument(number >= 0, "number must not be negative: %s", number);
  }
}
