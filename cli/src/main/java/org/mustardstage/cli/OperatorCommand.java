package org.mustardstage.cli;

/** A command of the command-line tool. */
@FunctionalInterface
interface OperatorCommand {
  /** Runs the command and returns its exit code. */
  ExitCode run(Console console);
}
