package org.mustardstage.cli;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.parser.errors.ParseException;

/** The command-line tool for operators. */
public final class CliMain {
  private static final Cli<OperatorCommand> CLI = newCli();

  private CliMain() {}

  /** Runs the command that {@code arguments} name and exits with its exit code. */
  public static void main(String[] arguments) {
    System.exit(run(new Console(System.out, System.err), arguments).number());
  }

  /** Runs the command that {@code arguments} name and returns its exit code. */
  static ExitCode run(Console console, String... arguments) {
    OperatorCommand command;
    try {
      command = CLI.parse(arguments);
    } catch (ParseException e) {
      console.err().println("mustardstage: " + e.getMessage());
      console.err().println("try: mustardstage help");
      return ExitCode.USAGE;
    }
    try {
      return command.run(console);
    } catch (IllegalArgumentException e) {
      console.err().println("mustardstage: " + e.getMessage());
      return ExitCode.USAGE;
    }
  }

  private static Cli<OperatorCommand> newCli() {
    CliBuilder<OperatorCommand> builder = Cli.builder("mustardstage");
    builder
        .withDescription("Operate a mustardstage deployment")
        .withDefaultCommand(HelpCommand.class)
        .withCommand(HelpCommand.class)
        .withCommand(CheckCommand.class)
        .withCommand(SubmitCommand.class)
        .withCommand(StatusCommand.class)
        .withCommand(ExplainCommand.class)
        .withCommand(AuditCommand.class)
        .withCommand(CompletionCommand.class);
    builder
        .withGroup("manifest")
        .withDescription("Show the active manifest or compare another one with it")
        .withCommand(ManifestShowCommand.class)
        .withCommand(ManifestDiffCommand.class);
    return builder.build();
  }
}
