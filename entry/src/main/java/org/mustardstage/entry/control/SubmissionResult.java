package org.mustardstage.entry.control;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.entry.platform.PlatformFailure;

/** The result of a submission. */
public sealed interface SubmissionResult {
  /** The manifest is accepted, now or in an earlier attempt of the same submission. */
  record Accepted(ConfigVersion version) implements SubmissionResult {}

  /** Another version was accepted after the base version; nothing was changed. */
  record Conflict(ConfigVersion current) implements SubmissionResult {}

  /** The manifest is invalid; nothing was changed. */
  record Invalid(List<ProblemText> problems) implements SubmissionResult {
    /** Makes an immutable copy of the list. */
    public Invalid {
      problems = ImmutableList.copyOf(problems);
    }
  }

  /** The platform could not be reached; nothing was changed. */
  record PlatformUnavailable(PlatformFailure failure) implements SubmissionResult {}

  /** Whether the manifest was accepted is unknown; the same submission may be retried. */
  record OutcomeUnknown(PlatformFailure failure) implements SubmissionResult {}

  /** A problem of a manifest in human-readable form. */
  record ProblemText(String kind, String path, String description) {}
}
