package org.mustardstage.schema;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** Why a manifest can't be put together from its parts. */
public sealed interface AssemblyProblem {
  /** Objects are missing; the root alone when it is missing itself. */
  record Missing(List<String> hashes) implements AssemblyProblem {
    /** Copies the list. */
    public Missing {
      hashes = ImmutableList.copyOf(hashes);
    }
  }

  /** An object can't be read. */
  record Malformed(String hash, String detail) implements AssemblyProblem {}
}
