package org.mustardstage.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;

/** Prints the manifest in force. */
@Command(name = "show", description = "Print the manifest in force")
public final class ManifestShowCommand implements OperatorCommand {
  @AirlineModule private ConnectionOptions connection = new ConnectionOptions();

  /** Creates the command; its fields are set from the command line. */
  public ManifestShowCommand() {}

  @Override
  public ExitCode run(Console console) {
    return ResponseHandler.handle(
        connection.client().get("/v1/manifest"),
        console,
        received -> {
          console.out().println("# version " + received.version());
          console.out().print(received.body());
          return ExitCode.OK;
        });
  }
}
