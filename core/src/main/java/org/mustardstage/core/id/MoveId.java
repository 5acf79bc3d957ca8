package org.mustardstage.core.id;

/** Identifies a planned move. */
public record MoveId(String value) implements Comparable<MoveId> {
  /** Checks that the text is a valid identifier. */
  public MoveId {
    Names.checkName("MoveId", value);
  }

  @Override
  public int compareTo(MoveId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
