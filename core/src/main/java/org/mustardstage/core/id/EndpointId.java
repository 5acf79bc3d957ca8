package org.mustardstage.core.id;

/** Identifies an endpoint of a service. */
public record EndpointId(String value) implements Comparable<EndpointId> {
  /** Checks that the text is a valid identifier. */
  public EndpointId {
    Names.checkName("EndpointId", value);
  }

  @Override
  public int compareTo(EndpointId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
