package org.mustardstage.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.CommandGroupMetadata;
import com.github.rvesse.airline.model.CommandMetadata;
import com.github.rvesse.airline.model.GlobalMetadata;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Explains the commands. */
@Command(name = "help", description = "Explain the commands")
public final class HelpCommand implements OperatorCommand {
  @AirlineModule private GlobalMetadata<OperatorCommand> global;

  @Arguments(title = "command", description = "Command to explain; defaults to all commands")
  private List<String> command = new ArrayList<>();

  /** Creates the command. The command-line parser sets its fields. */
  public HelpCommand() {}

  @Override
  public ExitCode run(Console console) {
    if (!command.isEmpty() && !isKnown(command.getFirst())) {
      console.err().println("mustardstage: unknown command " + command.getFirst());
      return ExitCode.USAGE;
    }
    try {
      Help.help(global, command, console.out());
    } catch (IOException e) {
      throw new UncheckedIOException("can't write help", e);
    }
    return ExitCode.OK;
  }

  private boolean isKnown(String name) {
    return Stream.concat(
            global.getDefaultGroupCommands().stream().map(CommandMetadata::getName),
            global.getCommandGroups().stream().map(CommandGroupMetadata::getName))
        .anyMatch(name::equals);
  }
}
