package org.mustardstage.entry.peer;

import java.util.Optional;

/** The source from which this program was built. */
public final class Build {
  private static final Optional<String> COMMIT =
      Optional.ofNullable(Build.class.getPackage().getImplementationVersion());

  private Build() {}

  /** Returns the commit, as the build has written it into the archive; empty in tests. */
  public static Optional<String> commit() {
    return COMMIT;
  }
}
