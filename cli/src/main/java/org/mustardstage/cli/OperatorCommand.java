package org.mustardstage.cli;

/** A command of the operators. */
@FunctionalInterface
interface OperatorCommand {
  /** Runs the command and returns how it ended. */
  ExitCode run(Console console);
}
