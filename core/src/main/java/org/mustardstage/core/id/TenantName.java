package org.mustardstage.core.id;

/** Identifies a tenant: a customer whose callers share API keys, a priority and a quota. */
public record TenantName(String value) implements Comparable<TenantName> {
  /** Checks that the text is a valid identifier. */
  public TenantName {
    Names.checkName("TenantName", value);
  }

  @Override
  public int compareTo(TenantName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
