package org.mustardstage.core.id;

import com.google.common.base.Preconditions;
import java.util.regex.Pattern;

/** Checks the text of identifiers. */
final class Names {
  private static final int MAX_LENGTH_CHARS = 63;
  private static final Pattern VALID_NAME = Pattern.compile("[a-z0-9]([a-z0-9.-]*[a-z0-9])?");

  private Names() {}

  /**
   * Returns {@code value} when it is a valid identifier.
   *
   * @throws IllegalArgumentException if it is not lower-case letters, digits, dots and hyphens, or
   *     longer than 63 characters
   */
  static String checkName(String kind, String value) {
    Preconditions.checkArgument(value.length() <= MAX_LENGTH_CHARS, "%s is too long", kind);
    Preconditions.checkArgument(VALID_NAME.matcher(value).matches(), "%s is malformed: %s", kind, value);
    return value;
  }
}
