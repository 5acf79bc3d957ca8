package org.mustardstage.entry.control;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.entry.platform.PlatformFailure;

/** How a submission ended. */
public sealed interface SubmissionEnd {
  /** The manifest is accepted, now or by an earlier try of the same submission. */
  record Accepted(ConfigVersion version) implements SubmissionEnd {}

  /** Another version was accepted since the base version; nothing was changed. */
  record Conflict(ConfigVersion current) implements SubmissionEnd {}

  /** The manifest is wrong; nothing was changed. */
  record Invalid(List<ProblemText> problems) implements SubmissionEnd {
    /** Copies the list. */
    public Invalid {
      problems = ImmutableList.copyOf(problems);
    }
  }

  /** The platform could not be reached; nothing was changed. */
  record PlatformUnavailable(PlatformFailure failure) implements SubmissionEnd {}

  /** It is not known whether the manifest was accepted; the same submission may be tried again. */
  record OutcomeUnknown(PlatformFailure failure) implements SubmissionEnd {}

  /** One thing that is wrong with a manifest, for people to read. */
  record ProblemText(String kind, String path, String description) {}
}
