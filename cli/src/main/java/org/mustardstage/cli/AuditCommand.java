package org.mustardstage.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.time.Instant;

/** Lists the accepted changes, newest first. */
@Command(name = "audit", description = "List the accepted changes, newest first")
public final class AuditCommand implements OperatorCommand {
  @AirlineModule private ConnectionOptions connection = new ConnectionOptions();

  @Option(
      name = {"--limit"},
      title = "number",
      description = "Maximum number of entries to list")
  private int limit = 20;

  @Option(
      name = {"--json"},
      description = "Print the response as JSON")
  private boolean json;

  /** Creates the command. The command-line parser sets its fields. */
  public AuditCommand() {}

  @Override
  public ExitCode run(Console console) {
    return ResponseHandler.handle(
        connection.client().get("/v1/audit?limit=" + limit),
        console,
        response -> {
          if (json) {
            console.out().println(response.body());
          } else {
            table(ResponseHandler.parseJson(response.body())).print(console.out());
          }
          return ExitCode.OK;
        });
  }

  private static Table table(JsonNode response) {
    Table table = new Table();
    table.add("VERSION", "TIME", "SUBMITTER", "SUBMISSION", "SUMMARY");
    for (JsonNode entry : response.path("entries")) {
      table.add(
          entry.path("version").asText(),
          Instant.ofEpochMilli(entry.path("timeMillis").asLong()).toString(),
          entry.path("submitter").asText(),
          entry.path("submissionId").asText(),
          entry.path("summary").asText());
    }
    return table;
  }
}
