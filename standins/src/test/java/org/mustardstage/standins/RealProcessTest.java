package org.mustardstage.standins;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.schema.JsonMessages;
import org.mustardstage.schema.SettingsReader;
import org.mustardstage.schema.generated.LoadCallSummary;
import org.mustardstage.schema.generated.LoadPlan;
import org.mustardstage.schema.generated.LoadSummary;
import org.mustardstage.schema.generated.OperatorSubmission;
import org.mustardstage.standins.demo.Deployment;
import org.mustardstage.standins.demo.OutcomeCheck;
import org.mustardstage.standins.demo.ProgramCommands;
import org.mustardstage.standins.http.TestHttpClient;
import org.mustardstage.standins.load.LoadMain;

/**
 * Guards against outcomes that differ from what ran, such as a non-idempotent request that runs
 * twice: it kills, pauses and restarts entry VMs under load and compares the outcomes that callers
 * received with the runs that endpoints recorded.
 */
class RealProcessTest {
  private static final Path EXAMPLE = Path.of("..", "examples", "cooperative");
  private static final Duration PAUSE_BETWEEN_FAULTS = Duration.ofSeconds(2);
  private static final ImmutableMap<String, String> MAIN_CLASSES =
      ImmutableMap.of(
          "mustardstage-platform", "org.mustardstage.standins.platform.PlatformMain",
          "mustardstage-endpoint", "org.mustardstage.standins.endpoint.EndpointMain",
          "mustardstage-entry", "org.mustardstage.entry.EntryMain");
  private static final String PLAN =
      """
      seed: 20261204
      requestsPerSecond: 60
      durationMillis: 10000
      callers: 40
      calls:
        - {service: order-desk, call: look-up-sample, weight: 3}
        - {service: order-desk, call: book-press-run, weight: 3, bodyBytes: 300}
        - {service: pattern-library, call: preview-swatch, weight: 2}
      """;

  @TempDir private Path folder;
  private Deployment deployment;

  @BeforeEach
  void start() throws Exception {
    copyExample();
    ProgramCommands programs = RealProcessTest::command;
    deployment = new Deployment(programs, folder, folder);
    deployment.start(1);
    submit();
    deployment.awaitReady();
  }

  @AfterEach
  void stop() throws InterruptedException {
    deployment.stop();
  }

  @Test
  void outcomesMatchRunsWhileEntryVmsAreKilledPausedAndRestarted() throws Exception {
    LoadPlan plan = SettingsReader.read(PLAN, LoadPlan.class).get();
    CompletableFuture<LoadSummary> load =
        CompletableFuture.supplyAsync(
            () -> LoadMain.run(deployment.manifest(), plan, deployment.trafficAddresses()));
    Thread.sleep(PAUSE_BETWEEN_FAULTS);
    deployment.entryVm("regina-b-vm-1").kill();
    deployment.entryVm("saskatoon-a-vm-1").pause();
    Thread.sleep(PAUSE_BETWEEN_FAULTS);
    deployment.entryVm("saskatoon-a-vm-1").resume();
    deployment.startEntryVm("regina-b-vm-1");

    LoadSummary summary = load.join();
    OutcomeCheck check = OutcomeCheck.of(summary, deployment.endpointRecords());
    assertThat(check.toString(), check.hasPassed(), equalTo(true));
    assertThat(
        summary.getCalls().stream().mapToLong(LoadCallSummary::getAnswered).sum(), greaterThan(0L));
  }

  private void submit() throws IOException {
    TestHttpClient http =
        new TestHttpClient(HostAndPort.parse(deployment.adminAddress("regina-a-vm-1")));
    byte[] submission =
        JsonMessages.write(
            new OperatorSubmission()
                .withSubmissionId("real-process-test")
                .withBaseVersion(0L)
                .withSubmitter("test")
                .withManifest(Files.readString(folder.resolve("demo-manifest.yaml"))));
    int status =
        http.send("POST", "/v1/submissions", new String(submission, StandardCharsets.UTF_8))
            .statusCode();
    assertThat(status, equalTo(200));
  }

  private void copyExample() throws IOException {
    Files.createDirectory(folder.resolve("settings"));
    try (Stream<Path> files = Files.walk(EXAMPLE)) {
      for (Path file : files.filter(Files::isRegularFile).toList()) {
        Path copy = folder.resolve(EXAMPLE.relativize(file).toString());
        Files.writeString(copy, withTestAddresses(Files.readString(file)));
      }
    }
  }

  /**
   * Replaces the loopback addresses in {@code text}, so that the test and a demo can run at once.
   */
  private static String withTestAddresses(String text) {
    return text.replace("127.0.0.1:7100", "127.111.0.1:7100")
        .replace("127.11.", "127.111.")
        .replace("127.12.", "127.112.");
  }

  private static List<String> command(String name) {
    return ImmutableList.of(
        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-Xmx160m",
        "-XX:+UseSerialGC",
        "-cp",
        System.getProperty("java.class.path"),
        MAIN_CLASSES.get(name));
  }
}
