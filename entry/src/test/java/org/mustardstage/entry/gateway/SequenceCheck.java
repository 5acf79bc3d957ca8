package org.mustardstage.entry.gateway;

/** Counts runs of a callback, and how many of them ran inside one another. */
final class SequenceCheck {
  private int runs;
  private int nesting;
  private int maxNesting;

  /** Runs {@code step}, and throws after it. */
  void runThenFail(Runnable step) {
    runs++;
    nesting++;
    maxNesting = Math.max(maxNesting, nesting);
    try {
      step.run();
    } finally {
      nesting--;
    }
    throw new IllegalStateException("thrown by run " + runs);
  }

  int runs() {
    return runs;
  }

  int maxNesting() {
    return maxNesting;
  }
}
