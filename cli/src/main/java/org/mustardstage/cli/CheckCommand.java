package org.mustardstage.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.mustardstage.core.manifest.Manifest;

/** Validates a manifest and prints all its problems. */
@Command(name = "check", description = "Validate a manifest and print all its problems")
public final class CheckCommand implements OperatorCommand {
  @Arguments(title = "file", description = "Manifest file")
  @Required
  private String file;

  /** Creates the command. The command-line parser sets its fields. */
  public CheckCommand() {}

  @Override
  public ExitCode run(Console console) {
    return ManifestFile.read(file, console)
        .map(
            manifest -> {
              console.out().println(summary(manifest.manifest()));
              return ExitCode.OK;
            })
        .orElse(ExitCode.INVALID);
  }

  private static String summary(Manifest manifest) {
    long endpoints = manifest.services().stream().mapToLong(s -> s.endpoints().size()).sum();
    return "valid: %s, %d zones, %d services, %d endpoints, %d caller blocks, %d moves, %d drains"
        .formatted(
            manifest.deployment(),
            manifest.zones().size(),
            manifest.services().size(),
            endpoints,
            manifest.callerBlocks().size(),
            manifest.moves().size(),
            manifest.drains().size());
  }
}
