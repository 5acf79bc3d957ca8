package org.mustardstage.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import org.mustardstage.schema.JsonMessages;
import org.mustardstage.schema.generated.OperatorSubmission;

/** Submits a manifest, which is activated as a whole or not at all. */
@Command(
    name = "submit",
    description = "Submit a manifest, which is activated as a whole or not at all")
public final class SubmitCommand implements OperatorCommand {
  private static final String SUBMISSIONS_PATH = "/v1/submissions";
  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

  @AirlineModule private ConnectionOptions connection = new ConnectionOptions();

  @Arguments(title = "file", description = "Manifest file")
  @Required
  private String file;

  @Option(
      name = {"--base-version"},
      title = "version",
      description = "Version on which the manifest is based; 0 for the first manifest")
  @Required
  private long baseVersion;

  @Option(
      name = {"--submission-id"},
      title = "id",
      description = "Id of the submission. Reuse it to retry safely; random by default")
  private String submissionId;

  @Option(
      name = {"--submitter"},
      title = "name",
      description = "Submitter for the audit log; defaults to the name of the user")
  private String submitter = System.getProperty("user.name", "unknown");

  @Option(
      name = {"--wait"},
      description = "Wait until every entry VM has confirmed the manifest")
  private boolean wait;

  @Option(
      name = {"--wait-seconds"},
      title = "seconds",
      description = "Maximum time to wait")
  private long waitSeconds = 30;

  /** Creates the command. The command-line parser sets its fields. */
  public SubmitCommand() {}

  @Override
  public ExitCode run(Console console) {
    Optional<ManifestFile> manifest = ManifestFile.read(file, console);
    if (manifest.isEmpty()) {
      return ExitCode.INVALID;
    }
    String id = submissionId == null ? "cli-" + UUID.randomUUID() : submissionId;
    console.out().println("submission " + id);
    OperatorClient client = connection.client();
    byte[] submission =
        JsonMessages.write(
            new OperatorSubmission()
                .withSubmissionId(id)
                .withBaseVersion(baseVersion)
                .withSubmitter(submitter)
                .withManifest(manifest.get().text()));
    return ResponseHandler.handle(
        client.post(SUBMISSIONS_PATH, submission),
        console,
        response -> onAccepted(client, ResponseHandler.parseJson(response.body()), console));
  }

  private ExitCode onAccepted(OperatorClient client, JsonNode body, Console console) {
    long version = body.path("version").asLong();
    console.out().println("accepted as version " + version);
    return wait ? awaitConfirmation(client, version, console) : ExitCode.OK;
  }

  private ExitCode awaitConfirmation(OperatorClient client, long version, Console console) {
    long deadlineNanos = System.nanoTime() + Duration.ofSeconds(waitSeconds).toNanos();
    ConfirmationCheck check = new ConfirmationCheck(client, version);
    while (!check.isConfirmed()) {
      if (System.nanoTime() - deadlineNanos > 0) {
        console.err().println("not confirmed: " + String.join(", ", check.notConfirmed()));
        return ExitCode.NOT_CONFIRMED;
      }
      try {
        Thread.sleep(POLL_INTERVAL);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return ExitCode.NOT_CONFIRMED;
      }
    }
    console.out().println("in force everywhere");
    return ExitCode.OK;
  }
}
