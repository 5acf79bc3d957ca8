package org.mustardstage.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Says why a caller gets the look-up answer that it gets. */
@Command(name = "explain", description = "Say why a caller gets its look-up answer")
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
      description = "IP number of the caller")
  @Required
  private String address;

  /** Creates the command; its fields are set from the command line. */
  public ExplainCommand() {}

  @Override
  public ExitCode run(Console console) {
    String path = "/v1/explain?service=" + encode(service) + "&address=" + encode(address);
    return ResponseHandler.handle(
        connection.client().get(path),
        console,
        received -> {
          print(ResponseHandler.parseJson(received.body()), console);
          return ExitCode.OK;
        });
  }

  private static void print(JsonNode answer, Console console) {
    console.out().println("version " + answer.path("version").asText());
    console.out().println("reason: " + answer.path("reason").asText());
    Table table = new Table();
    table.add("ENTRY VM", "ZONE", "ADDRESS");
    for (JsonNode vm : answer.path("entryVms")) {
      table.add(vm.path("vm").asText(), vm.path("zone").asText(), vm.path("address").asText());
    }
    table.print(console.out());
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
