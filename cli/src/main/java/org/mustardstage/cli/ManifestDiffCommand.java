package org.mustardstage.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.mustardstage.schema.ManifestWriter;

/** Shows the differences between the active manifest and one in a file. */
@Command(name = "diff", description = "Show the differences between the active manifest and a file")
public final class ManifestDiffCommand implements OperatorCommand {
  @AirlineModule private ConnectionOptions connection = new ConnectionOptions();

  @Arguments(title = "file", description = "Manifest file")
  @Required
  private String file;

  /** Creates the command. The command-line parser sets its fields. */
  public ManifestDiffCommand() {}

  @Override
  public ExitCode run(Console console) {
    Optional<ManifestFile> manifest = ManifestFile.read(file, console);
    if (manifest.isEmpty()) {
      return ExitCode.INVALID;
    }
    List<String> proposed = lines(ManifestWriter.write(manifest.get().manifest()));
    return ResponseHandler.handle(
        connection.client().get("/v1/manifest"),
        console,
        response -> {
          console.out().println("against version " + response.version());
          LineDiff.of(lines(response.body()), proposed).forEach(console.out()::println);
          return ExitCode.OK;
        });
  }

  private static List<String> lines(String text) {
    return ImmutableList.copyOf(text.lines().iterator());
  }
}
