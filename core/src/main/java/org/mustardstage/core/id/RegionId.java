package org.mustardstage.core.id;

/** Identifies a region. */
public record RegionId(String value) implements Comparable<RegionId> {
  /** Checks that the text is a valid identifier. */
  public RegionId {
    Names.checkName("RegionId", value);
  }

  @Override
  public int compareTo(RegionId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
