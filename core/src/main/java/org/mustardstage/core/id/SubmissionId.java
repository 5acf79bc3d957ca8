package org.mustardstage.core.id;

/** Identifies a submission of a manifest. */
public record SubmissionId(String value) implements Comparable<SubmissionId> {
  /** Checks that the text is a valid identifier. */
  public SubmissionId {
    Names.checkName("SubmissionId", value);
  }

  @Override
  public int compareTo(SubmissionId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
