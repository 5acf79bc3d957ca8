package org.mustardstage.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;

/** Prints the active manifest. */
@Command(name = "show", description = "Print the active manifest")
public final class ManifestShowCommand implements OperatorCommand {
  @AirlineModule private ConnectionOptions connection = new ConnectionOptions();

  /** Creates the command. The command-line parser sets its fields. */
  public ManifestShowCommand() {}

  @Override
  public ExitCode run(Console console) {
    return ResponseHandler.handle(
        connection.client().get("/v1/manifest"),
        console,
        response -> {
          console.out().println("# version " + response.version());
          console.out().print(response.body());
          return ExitCode.OK;
        });
  }
}
