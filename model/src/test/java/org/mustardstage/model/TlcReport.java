package org.mustardstage.model;

/** Prints the results of model checks and the number of states that they took. */
final class TlcReport {
  private TlcReport() {}

  /** Prints the size of the state space that was searched without a violation. */
  static void printHeld(String configuration, TlcResult result) {
    System.out.printf("%s: %d distinct states%n", configuration, result.distinctStates());
  }

  /** Prints the violated property and the number of states found before the violation. */
  static void printViolated(String configuration, Tlc.Constant constant, TlcResult result) {
    System.out.printf(
        "%s with %s = %s: violates %s after %d distinct states%n",
        configuration,
        constant.name(),
        constant.value(),
        result.violatedProperty().orElse("nothing"),
        result.distinctStates());
  }
}
