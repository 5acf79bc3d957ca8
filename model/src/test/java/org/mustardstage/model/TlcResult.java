package org.mustardstage.model;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The result of one run of the model checker.
 *
 * @param exitCode the exit code of TLC
 * @param configuration the text of the configuration file
 * @param output everything that TLC printed
 */
record TlcResult(int exitCode, String configuration, String output) {
  private static final Pattern STATE_COUNTS =
      Pattern.compile("(\\d+) states generated, (\\d+) distinct states found, (\\d+) states left");
  private static final Pattern INVARIANT_VIOLATED = Pattern.compile("Invariant (\\w+) is violated");
  private static final String COMPLETED = "Model checking completed. No error has been found.";
  private static final String LIVENESS_VIOLATED = "Temporal properties were violated";
  private static final Pattern PROPERTY_LINE = Pattern.compile("(?m)^PROPERTY (\\w+)$");

  /** Returns whether TLC visited every reachable state and found no violation. */
  boolean holds() {
    return exitCode == 0 && output.contains(COMPLETED) && queuedStates() == 0;
  }

  /** Returns the violated property, or empty if there is none. */
  Optional<String> violatedProperty() {
    Matcher invariant = INVARIANT_VIOLATED.matcher(output);
    if (invariant.find()) {
      return Optional.of(invariant.group(1));
    }
    Matcher property = PROPERTY_LINE.matcher(configuration);
    return output.contains(LIVENESS_VIOLATED) && property.find()
        ? Optional.of(property.group(1))
        : Optional.empty();
  }

  /** Returns the number of distinct states that TLC found. */
  long distinctStates() {
    return lastStateCount(2);
  }

  /** Returns the number of states that were found but not explored. */
  long queuedStates() {
    return lastStateCount(3);
  }

  private long lastStateCount(int group) {
    Matcher states = STATE_COUNTS.matcher(output);
    long last = -1;
    while (states.find()) {
      last = Long.parseLong(states.group(group));
    }
    return last;
  }
}
