package org.mustardstage.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.model.CommandMetadata;
import com.github.rvesse.airline.model.GlobalMetadata;
import com.github.rvesse.airline.model.OptionMetadata;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableSet;
import java.util.TreeSet;

/** Prints a bash script that completes commands and options. */
@Command(name = "completion", description = "Print a bash completion script")
public final class CompletionCommand implements OperatorCommand {
  @AirlineModule private GlobalMetadata<OperatorCommand> global;

  /** Creates the command. The command-line parser sets its fields. */
  public CompletionCommand() {}

  @Override
  public ExitCode run(Console console) {
    NavigableSet<String> words = new TreeSet<>();
    for (CommandMetadata command : commands()) {
      words.add(command.getName());
      command.getAllOptions().stream().map(OptionMetadata::getOptions).forEach(words::addAll);
    }
    global.getCommandGroups().forEach(group -> words.add(group.getName()));
    console
        .out()
        .println(
            """
            _mustardstage() {
              COMPREPLY=($(compgen -f -W "%s" -- "${COMP_WORDS[COMP_CWORD]}"))
            }
            complete -F _mustardstage mustardstage\
            """
                .formatted(String.join(" ", words)));
    return ExitCode.OK;
  }

  private List<CommandMetadata> commands() {
    List<CommandMetadata> commands = new ArrayList<>(global.getDefaultGroupCommands());
    global.getCommandGroups().forEach(group -> commands.addAll(group.getCommands()));
    return commands;
  }
}
