package org.mustardstage.core.id;

import com.google.common.base.Preconditions;

/** The number of an accepted manifest, counted from 1; 0 stands for no manifest. */
public record ConfigVersion(long number) implements Comparable<ConfigVersion> {
  /** The version before any manifest was accepted. */
  public static final ConfigVersion NONE = new ConfigVersion(0);

  /** Checks that the number is not negative. */
  public ConfigVersion {
    Preconditions.checkArgument(number >= 0, "version must not be negative: %s", number);
  }

  /** Returns the version that follows this one. */
  public ConfigVersion next() {
    return new ConfigVersion(number + 1);
  }

  @Override
  public int compareTo(ConfigVersion other) {
    return Long.compare(number, other.number);
  }

  @Override
  public String toString() {
    return Long.toString(number);
  }
}
