package org.mustardstage.core.id;

/** Identifies a region. */
public record RegionId(String value) implements Comparable<RegionId> {
  /** Checks the text of the identifier. */
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
