package org.mustardstage.schema;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** Reason why a manifest can't be assembled from its parts. */
public sealed interface AssemblyProblem {
  /** Objects have not been read yet: only the root if that is missing, else the missing parts. */
  record Missing(List<String> hashes) implements AssemblyProblem {
    /** Copies the list. */
    public Missing {
      hashes = ImmutableList.copyOf(hashes);
    }
  }

  /** The object stored under {@code hash} is not a valid root or part. */
  record Malformed(String hash, String detail) implements AssemblyProblem {}
}
