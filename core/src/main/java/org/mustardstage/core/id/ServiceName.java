package org.mustardstage.core.id;

/** Identifies a service. */
public record ServiceName(String value) implements Comparable<ServiceName> {
  /** Checks that the text is a valid identifier. */
  public ServiceName {
    Names.checkName("ServiceName", value);
  }

  @Override
  public int compareTo(ServiceName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
