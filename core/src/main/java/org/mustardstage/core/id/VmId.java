package org.mustardstage.core.id;

/** Identifies an entry VM by name. */
public record VmId(String value) implements Comparable<VmId> {
  /** Checks that the text is a valid identifier. */
  public VmId {
    Names.checkName("VmId", value);
  }

  @Override
  public int compareTo(VmId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
