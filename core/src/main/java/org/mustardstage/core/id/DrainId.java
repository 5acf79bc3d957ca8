package org.mustardstage.core.id;

/** Identifies a planned drain. */
public record DrainId(String value) implements Comparable<DrainId> {
  /** Checks that the text is a valid identifier. */
  public DrainId {
    Names.checkName("DrainId", value);
  }

  @Override
  public int compareTo(DrainId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
