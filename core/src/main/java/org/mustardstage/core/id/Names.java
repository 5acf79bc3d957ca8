package org.mustardstage.core.id;

import com.google.common.base.Preconditions;
import java.util.regex.Pattern;

/** Checks the text of identifiers. */
final class Names {
  private static final int MAX_LENGTH_CHARS = 63;
  private static final Pattern VALID_NAME = Pattern.compile("[a-z0-9]([a-z0-9.-]*[a-z0-9])?");

  private Names() {}

  /**
   * Returns {@code value} if it is a valid identifier.
   *
   * @throws IllegalArgumentException if it contains anything but lower-case letters, digits, dots
   *     and hyphens, starts or ends with a dot or hyphen, or is longer than 63 characters
   */
  static String checkName(String kind, String value) {
    Preconditions.checkArgument(
        value.length() <= MAX_LENGTH_CHARS, "%s is longer than 63 characters", kind);
    Preconditions.checkArgument(
        VALID_NAME.matcher(value).matches(),
        "%s must be lower-case letters, digits, inner dots and hyphens: %s",
        kind,
        value);
    return value;
  }
}
