package org.mustardstage.standins.demo;

import com.google.common.collect.ImmutableList;
import java.nio.file.Path;
import java.util.List;

/** Provides the command lines that start the programs of the project. */
@FunctionalInterface
public interface ProgramCommands {
  /** Returns the command that starts the program {@code name}, without its arguments. */
  List<String> command(String name);

  /** Returns commands that run the launcher scripts in the folder {@code bin} of {@code top}. */
  static ProgramCommands inBinFolder(Path top) {
    return name -> ImmutableList.of(top.resolve("bin").resolve(name).toString());
  }
}
