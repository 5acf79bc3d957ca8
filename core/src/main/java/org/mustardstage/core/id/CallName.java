package org.mustardstage.core.id;

/** Identifies a kind of call to a service. */
public record CallName(String value) implements Comparable<CallName> {
  /** Checks that the text is a valid identifier. */
  public CallName {
    Names.checkName("CallName", value);
  }

  @Override
  public int compareTo(CallName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
