package org.mustardstage.cli;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardstage.schema.ManifestReader;
import org.mustardstage.schema.ManifestWriter;

/**
 * Runs the commands against a fake operator API. Checks their output, and that every outcome has
 * its exit code, on which build pipelines depend.
 */
class CliMainTest {
  private static final String MANIFEST =
      """
      schemaVersion: 1
      deployment: sample
      answerLifetimeMillis: 2000
      zones: [{name: regina-a, region: regina}]
      services:
        - name: desk
          objective: latency
          calls: [{name: sample, method: GET, pathPrefix: /, idempotent: true, priority: interactive, deadlineMillis: 1000}]
          endpoints: [{name: desk-1, zone: regina-a, address: "127.0.0.1:1", slots: 1, connections: 1}]
      callerBlocks: []
      """;
  private static final String STATUS =
      """
      {"vm": "vm-1", "zone": "regina-a", "region": "regina", "version": 5, "notConfirmed": [%s],
       "peers": [{"vm": "vm-2", "zone": "regina-a", "liveness": "alive", "version": 5}],
       "endpoints": [{"endpoint": "desk-1", "service": "desk", "zone": "regina-a", "slots": 1}]}
      """;

  @TempDir private Path folder;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private FakeOperatorApi api;

  @BeforeEach
  void start() throws IOException {
    api = new FakeOperatorApi();
  }

  @AfterEach
  void stop() {
    api.close();
  }

  @Test
  void checkAcceptsAValidManifest() throws IOException {
    assertThat(run("check", file(MANIFEST)), equalTo(ExitCode.OK));
    assertThat(out.toString(UTF_8), containsString("valid: sample"));
  }

  @Test
  void checkReportsAllProblems() throws IOException {
    String manifest = MANIFEST.replace("slots: 1", "slots: 0").replace("latency", "speed");

    assertThat(run("check", file(manifest)), equalTo(ExitCode.INVALID));
    assertThat(err.toString(UTF_8), containsString("/services/desk/endpoints/desk-1/slots"));
    assertThat(err.toString(UTF_8), containsString("/services/desk/objective"));
  }

  @Test
  void checkOfAMissingFileFails() {
    assertThat(run("check", folder.resolve("none").toString()), equalTo(ExitCode.INVALID));
  }

  @ParameterizedTest
  @CsvSource({
    "200, OK",
    "400, USAGE",
    "409, CONFLICT",
    "422, INVALID",
    "502, OUTCOME_UNKNOWN",
    "503, UNAVAILABLE",
    "500, UNEXPECTED_RESPONSE"
  })
  void submitMapsResponseStatusToExitCode(int status, ExitCode expected) throws IOException {
    api.respondWith("/v1/submissions", status, "{\"version\": 5}");

    assertThat(submit(), equalTo(expected));
  }

  @Test
  void submitSendsTheWholeManifest() throws IOException {
    api.respondWith("/v1/submissions", 200, "{\"version\": 5}");
    submit("--submission-id", "build-7");

    assertThat(api.bodies.getFirst(), containsString("\"submissionId\":\"build-7\""));
    assertThat(api.bodies.getFirst(), containsString("\"baseVersion\":4"));
    assertThat(api.bodies.getFirst(), containsString("deployment: sample"));
  }

  @Test
  void submitWaitsUntilEveryEntryVmConfirmed() throws IOException {
    api.respondWith("/v1/submissions", 200, "{\"version\": 5}");
    api.respondWith("/v1/status", 200, STATUS.formatted(""));

    assertThat(submit("--wait"), equalTo(ExitCode.OK));
    assertThat(out.toString(UTF_8), containsString("in force everywhere"));
  }

  @Test
  void submitReportsEntryVmsThatDidNotConfirm() throws IOException {
    api.respondWith("/v1/submissions", 200, "{\"version\": 5}");
    api.respondWith("/v1/status", 200, STATUS.formatted("\"vm-9\""));

    assertThat(submit("--wait", "--wait-seconds", "1"), equalTo(ExitCode.NOT_CONFIRMED));
    assertThat(err.toString(UTF_8), containsString("not confirmed: vm-9"));
  }

  @Test
  void invalidManifestIsNotSubmitted() throws IOException {
    String wrong = file(MANIFEST.replace("slots: 1", "slots: 0"));

    assertThat(
        run("submit", wrong, "--base-version", "4", "--vm", api.address()),
        equalTo(ExitCode.INVALID));
    assertThat(api.bodies.size(), equalTo(0));
  }

  @Test
  void problemsOfARejectedManifestArePrinted() throws IOException {
    api.respondWith(
        "/v1/submissions",
        422,
        "{\"code\": \"invalid-manifest\", \"problems\": [{\"path\": \"/a\", \"description\": \"b\"}]}");
    submit();

    assertThat(err.toString(UTF_8), containsString("/a: b"));
  }

  @Test
  void triesTheNextEntryVmWhenOneIsUnreachable() {
    api.respondWith("/v1/status", 200, STATUS.formatted(""));

    assertThat(run("status", "--vm", "127.0.0.1:1", "--vm", api.address()), equalTo(ExitCode.OK));
    assertThat(out.toString(UTF_8), containsString("vm-2"));
    assertThat(out.toString(UTF_8), containsString("desk-1"));
  }

  @Test
  void exitsUnavailableWhenNoEntryVmIsReachable() {
    assertThat(run("status", "--vm", "127.0.0.1:1"), equalTo(ExitCode.UNAVAILABLE));
  }

  @Test
  void showsAuditManifestAndExplanation() {
    api.respondWith(
        "/v1/audit", 200, "{\"entries\": [{\"version\": 3, \"submitter\": \"pipeline\"}]}");
    api.respondWith("/v1/manifest", 200, MANIFEST);
    api.respondWith("/v1/explain", 200, "{\"version\": 3, \"reason\": \"closest region\"}");

    run("audit", "--vm", api.address());
    run("manifest", "show", "--vm", api.address());
    run("explain", "--service", "desk", "--address", "10.0.0.1", "--vm", api.address());
    assertThat(out.toString(UTF_8), containsString("pipeline"));
    assertThat(out.toString(UTF_8), containsString("# version 4"));
    assertThat(out.toString(UTF_8), containsString("closest region"));
  }

  @Test
  void diffShowsChangedLines() throws IOException {
    String written = ManifestWriter.write(ManifestReader.read(MANIFEST).get());
    api.respondWith("/v1/manifest", 200, written);
    String changed = file(MANIFEST.replace("slots: 1", "slots: 2"));

    assertThat(run("manifest", "diff", changed, "--vm", api.address()), equalTo(ExitCode.OK));
    assertThat(out.toString(UTF_8), containsString("+     slots: 2"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"bogus", "submit", "check", "status --nonsense", "audit --limit many"})
  void invalidCommandLinesAreRejected(String line) {
    assertThat(run(line.split(" ")), equalTo(ExitCode.USAGE));
  }

  @ParameterizedTest
  @ValueSource(strings = {"help", "help submit", "completion"})
  void helpAndCompletionListTheCommands(String line) {
    assertThat(run(line.split(" ")), equalTo(ExitCode.OK));
    assertThat(out.toString(UTF_8), containsString("submit"));
  }

  private ExitCode submit(String... options) throws IOException {
    String[] fixed = {"submit", file(MANIFEST), "--base-version", "4", "--vm", api.address()};
    String[] all = Arrays.copyOf(fixed, fixed.length + options.length);
    System.arraycopy(options, 0, all, fixed.length, options.length);
    return run(all);
  }

  private ExitCode run(String... arguments) {
    Console console =
        new Console(new PrintStream(out, true, UTF_8), new PrintStream(err, true, UTF_8));
    return CliMain.run(console, arguments);
  }

  private String file(String text) throws IOException {
    Path file = Files.createTempFile(folder, "manifest", ".yaml");
    return Files.writeString(file, text).toString();
  }
}
