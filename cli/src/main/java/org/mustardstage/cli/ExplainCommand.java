package org.mustardstage.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Explains which entry VMs a lookup returns to a caller, and why. */
@Command(
    name = "explain",
    description = "Explain which entry VMs a lookup returns to a caller, and why")
public final class ExplainCommand implements OperatorCommand {
  @AirlineModule private ConnectionOptions connection = new ConnectionOptions();

  @Option(
      name = {"--service"},
      title = "name",
      description = "Service that is looked up")
  @Required
  private String service;

  @Option(
      name = {"--address"},
      title = "IP",
      description = "IP address of the caller")
  @Required
  private String address;

  /** Creates the command. The command-line parser sets its fields. */
  public ExplainCommand() {}

  @Override
  public ExitCode run(Console console) {
    String path = "/v1/explain?service=" + encode(service) + "&address=" + encode(address);
    return ResponseHandler.handle(
        connection.client().get(path),
        console,
        response -> {
          print(ResponseHandler.parseJson(response.body()), console);
          return ExitCode.OK;
        });
  }

  private static void print(JsonNode response, Console console) {
    console.out().println("version " + response.path("version").asText());
    console.out().println("reason: " + response.path("reason").asText());
    Table table = new Table();
    table.add("ENTRY VM", "ZONE", "ADDRESS");
    for (JsonNode vm : response.path("entryVms")) {
      table.add(vm.path("vm").asText(), vm.path("zone").asText(), vm.path("address").asText());
    }
    table.print(console.out());
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
