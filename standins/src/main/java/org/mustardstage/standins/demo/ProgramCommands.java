package org.mustardstage.standins.demo;

import com.google.common.collect.ImmutableList;
import java.nio.file.Path;
import java.util.List;

/** Tells how to start the programs of the project. */
@FunctionalInterface
public interface ProgramCommands {
  /** Returns the start of the command line of the program that is called {@code name}. */
  List<String> command(String name);

  /** Returns the launchers in the folder {@code bin} of {@code top}. */
  static ProgramCommands inBinFolder(Path top) {
    return name -> ImmutableList.of(top.resolve("bin").resolve(name).toString());
  }
}
