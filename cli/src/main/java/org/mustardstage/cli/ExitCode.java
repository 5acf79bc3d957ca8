package org.mustardstage.cli;

/** Exit code of a command. The codes are documented in {@code docs/operations/cli.md}. */
enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /** The command line is invalid. */
  USAGE(2),
  /** A file can't be read, or the manifest is invalid. */
  INVALID(3),
  /** Another manifest has been accepted since the base version. */
  CONFLICT(4),
  /** No entry VM or no platform could be reached; nothing was changed. */
  UNAVAILABLE(5),
  /** The call was not completed, so it is unknown whether the manifest was accepted. */
  OUTCOME_UNKNOWN(6),
  /** The manifest was accepted, but not every entry VM confirmed it in time. */
  NOT_CONFIRMED(7),
  /** The entry VM sent a response with an unexpected status. */
  UNEXPECTED_RESPONSE(8);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the exit status of the process. */
  int number() {
    return number;
  }
}
