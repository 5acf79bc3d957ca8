package org.mustardstage.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

/** Shows the state of the deployment as seen by one entry VM. */
@Command(name = "status", description = "Show the state of the deployment as seen by one entry VM")
public final class StatusCommand implements OperatorCommand {
  @AirlineModule private ConnectionOptions connection = new ConnectionOptions();

  @Option(
      name = {"--json"},
      description = "Print the response as JSON")
  private boolean json;

  /** Creates the command. The command-line parser sets its fields. */
  public StatusCommand() {}

  @Override
  public ExitCode run(Console console) {
    return ResponseHandler.handle(
        connection.client().get("/v1/status"),
        console,
        response -> {
          if (json) {
            console.out().println(response.body());
          } else {
            print(ResponseHandler.parseJson(response.body()), console);
          }
          return ExitCode.OK;
        });
  }

  private static void print(JsonNode status, Console console) {
    console
        .out()
        .printf(
            "%s in %s, %s: version %s%s%n",
            status.path("vm").asText(),
            status.path("zone").asText(),
            status.path("region").asText(),
            status.path("version").asText(),
            status.path("stopping").asBoolean() ? ", stopping" : "");
    console.out().println("not confirmed: " + names(status.path("notConfirmed")));
    console.out().println("silent zones: " + names(status.path("silentZones")));
    console.out().println();
    peers(status).print(console.out());
    console.out().println();
    endpoints(status).print(console.out());
  }

  private static Table peers(JsonNode status) {
    Table table = new Table();
    table.add("ENTRY VM", "ZONE", "LIVENESS", "VERSION", "LEAVING");
    for (JsonNode peer : status.path("peers")) {
      table.add(
          peer.path("vm").asText(),
          peer.path("zone").asText(),
          peer.path("liveness").asText(),
          peer.path("version").asText(),
          peer.path("leaving").asText());
    }
    return table;
  }

  private static Table endpoints(JsonNode status) {
    Table table = new Table();
    table.add("ENDPOINT", "SERVICE", "ZONE", "SLOTS", "LEAVING");
    for (JsonNode endpoint : status.path("endpoints")) {
      table.add(
          endpoint.path("endpoint").asText(),
          endpoint.path("service").asText(),
          endpoint.path("zone").asText(),
          endpoint.path("slots").asText(),
          endpoint.path("leaving").asText());
    }
    return table;
  }

  private static String names(JsonNode array) {
    return array.isEmpty()
        ? "none"
        : String.join(", ", array.valueStream().map(JsonNode::asText).toList());
  }
}
