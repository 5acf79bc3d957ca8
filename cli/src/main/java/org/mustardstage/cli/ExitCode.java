package org.mustardstage.cli;

/** How the command ends; listed in {@code docs/operations/cli.md}. */
enum ExitCode {
  /** What was asked for was done. */
  OK(0),
  /** The command line is wrong. */
  USAGE(2),
  /** A file can't be read, or the manifest is wrong. */
  INVALID(3),
  /** Another manifest was accepted since the base version. */
  CONFLICT(4),
  /** No entry VM or no platform answered; nothing was done. */
  UNAVAILABLE(5),
  /** It is not known whether the manifest was accepted. */
  OUTCOME_UNKNOWN(6),
  /** The manifest was accepted; not every entry VM confirmed it in time. */
  NOT_CONFIRMED(7),
  /** The entry VM answered something else. */
  UNEXPECTED_RESPONSE(8);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the number that the shell sees. */
  int number() {
    return number;
  }
}
