package org.mustardstage.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.mustardstage.schema.ManifestWriter;

/** Shows what a manifest would change. */
@Command(name = "diff", description = "Show what a manifest would change of the one in force")
public final class ManifestDiffCommand implements OperatorCommand {
  @AirlineModule private ConnectionOptions connection = new ConnectionOptions();

  @Arguments(title = "file", description = "File of the manifest")
  @Required
  private String file;

  /** Creates the command; its fields are set from the command line. */
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
        received -> {
          console.out().println("against version " + received.version());
          LineDiff.of(lines(received.body()), proposed).forEach(console.out()::println);
          return ExitCode.OK;
        });
  }

  private static List<String> lines(String text) {
    return ImmutableList.copyOf(text.lines().iterator());
  }
}
