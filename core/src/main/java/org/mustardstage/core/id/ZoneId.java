package org.mustardstage.core.id;

/** Identifies an availability zone. */
public record ZoneId(String value) implements Comparable<ZoneId> {
  /** Checks that the text is a valid identifier. */
  public ZoneId {
    Names.checkName("ZoneId", value);
  }

  @Override
  public int compareTo(ZoneId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
