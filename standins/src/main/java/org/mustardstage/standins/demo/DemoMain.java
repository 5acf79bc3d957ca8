package org.mustardstage.standins.demo;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.schema.JsonMessages;
import org.mustardstage.schema.generated.EndpointRecord;
import org.mustardstage.schema.generated.LoadSummary;
import org.mustardstage.standins.http.InvalidInputException;

/**
 * Runs a deployment under load while one endpoint is drained, one entry VM is stopped gracefully
 * and one is killed, and then checks the outcomes that callers saw against the runs that the
 * endpoints recorded.
 */
@Command(
    name = "demo",
    description = "Run a deployment under load with configuration changes and faults")
public final class DemoMain {
  private static final int EXIT_CHECK_FAILED = 1;
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_ERROR = 3;
  private static final int VMS_PER_ZONE = 2;
  private static final long LOAD_TIMEOUT_SECONDS = 60;
  private static final long STOP_TIMEOUT_SECONDS = 20;
  private static final long MAX_DRAIN_DELAY_MILLIS = 3_000;
  private static final Duration PAUSE_BETWEEN_EVENTS = Duration.ofSeconds(3);
  private static final String FIRST_BASE_VERSION = "0";
  private static final String SECOND_BASE_VERSION = "1";

  @Option(
      name = {"--deployment"},
      description = "Example to run: cooperative or lumenhof")
  @AllowedRawValues(allowedValues = {"cooperative", "lumenhof"})
  private String deployment = "cooperative";

  private Path outputFolder;
  private Deployment processes;

  /** Creates the command; the command-line parser sets its fields. */
  public DemoMain() {}

  /** Runs the demo and exits with 0 if every check passed. */
  public static void main(String[] arguments) {
    System.exit(run(arguments));
  }

  private static int run(String[] arguments) {
    try {
      return SingleCommand.singleCommand(DemoMain.class).parse(arguments).runAndStop();
    } catch (ParseException e) {
      System.err.println("demo: " + e.getMessage());
      return EXIT_USAGE;
    } catch (IOException | InvalidInputException | IllegalStateException e) {
      System.err.println("demo failed: " + e.getMessage());
      return EXIT_ERROR;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return EXIT_ERROR;
    }
  }

  private int runAndStop() throws IOException, InvalidInputException, InterruptedException {
    Path top = Path.of("").toAbsolutePath();
    outputFolder = Files.createDirectories(top.resolve("standins/target/demo"));
    processes =
        new Deployment(
            ProgramCommands.inBinFolder(top),
            top.resolve("examples").resolve(deployment),
            outputFolder);
    Thread cleanUp = new Thread(this::stopProcesses, "clean-up");
    Runtime.getRuntime().addShutdownHook(cleanUp);
    try {
      return runDeployment(top);
    } finally {
      processes.stop();
    }
  }

  private void stopProcesses() {
    try {
      processes.stop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private int runDeployment(Path top)
      throws IOException, InvalidInputException, InterruptedException {
    Path example = top.resolve("examples").resolve(deployment);
    log("starting platform, endpoints and entry VMs; output in " + top.relativize(outputFolder));
    processes.start(VMS_PER_ZONE);
    submit("submit-1", example.resolve("demo-manifest.yaml"), FIRST_BASE_VERSION);
    processes.awaitReady();
    log("entry VMs are ready; sending load");
    Path summaryFile = outputFolder.resolve("summary.json");
    Files.deleteIfExists(summaryFile);
    ChildProcess load = processes.startLoad(example.resolve("demo-load.yaml"), summaryFile);
    Thread.sleep(PAUSE_BETWEEN_EVENTS);

    Endpoint drainedEndpoint = processes.manifest().services().getFirst().endpoints().getFirst();
    log("draining endpoint " + drainedEndpoint.id());
    submit("submit-2", writeDrainManifest(example, drainedEndpoint), SECOND_BASE_VERSION);
    final long drainAcceptedMillis = processes.lastAcceptedTimeMillis();
    Thread.sleep(PAUSE_BETWEEN_EVENTS);

    String stopped = processes.manifest().zones().getFirst().id() + "-vm-2";
    stopGracefully(stopped);

    String killed = processes.manifest().zones().getLast().id() + "-vm-2";
    log("killing entry VM " + killed);
    processes.entryVm(killed).kill();
    Thread.sleep(PAUSE_BETWEEN_EVENTS);
    processes.removeFromVmList(killed);

    int loadExit = load.awaitExit(LOAD_TIMEOUT_SECONDS);
    if (loadExit != 0) {
      throw new IllegalStateException("load tool failed with exit code " + loadExit);
    }
    return reportAndCheck(summaryFile, drainedEndpoint, drainAcceptedMillis);
  }

  private void submit(String name, Path manifest, String baseVersion)
      throws IOException, InterruptedException {
    int exit =
        processes.runCommand(
            name, "submit", manifest.toString(), "--base-version", baseVersion, "--wait");
    if (exit != 0) {
      throw new IllegalStateException(
          name + " exited with code " + exit + ", expected 0; see its log file");
    }
  }

  private Path writeDrainManifest(Path example, Endpoint endpoint) throws IOException {
    String manifest = Files.readString(example.resolve("demo-manifest.yaml"));
    String drain = "drains:\n  - {name: demo-drain, endpoint: " + endpoint.id() + "}\n";
    return Files.writeString(outputFolder.resolve("drain-manifest.yaml"), manifest + drain);
  }

  private void stopGracefully(String vm) throws InterruptedException {
    log("stopping entry VM " + vm + " gracefully");
    long startNanos = System.nanoTime();
    processes.entryVm(vm).terminate();
    int exit = processes.entryVm(vm).awaitExit(STOP_TIMEOUT_SECONDS);
    processes.removeFromVmList(vm);
    log(
        "entry VM %s exited with code %d after %d ms"
            .formatted(vm, exit, Duration.ofNanos(System.nanoTime() - startNanos).toMillis()));
  }

  private int reportAndCheck(Path summaryFile, Endpoint drainedEndpoint, long drainAcceptedMillis)
      throws IOException, InvalidInputException, InterruptedException {
    LoadSummary load =
        JsonMessages.read(Files.readAllBytes(summaryFile), LoadSummary.class)
            .getOrElseThrow(problems -> new InvalidInputException(problems.toString()));
    List<EndpointRecord> records = processes.endpointRecords();
    OutcomeCheck check = OutcomeCheck.of(load, records);
    new DemoReport(System.out).print(load, records, check);
    long lastStartMillis =
        records.stream()
            .filter(record -> record.getEndpoint().equals(drainedEndpoint.id().value()))
            .mapToLong(record -> record.getLastRunStartMillis() - drainAcceptedMillis)
            .findFirst()
            .orElseThrow();
    long drainDelayMillis = Math.max(0, lastStartMillis);
    System.out.printf(
        "%-45s %d ms after the manifest was accepted (limit %d ms)%n",
        "last request started by drained endpoint", drainDelayMillis, MAX_DRAIN_DELAY_MILLIS);
    boolean passed = check.hasPassed() && drainDelayMillis <= MAX_DRAIN_DELAY_MILLIS;
    System.out.println(passed ? "all checks passed" : "A CHECK FAILED");
    if (!passed) {
      System.out.println("non-idempotent requests run more than once: " + check.duplicateRuns());
      System.out.println("requests reported as not run that did run: " + check.notRunButExecuted());
      System.out.println(
          "non-idempotent requests with a response but no run: " + check.responsesWithoutRun());
    }
    return passed ? 0 : EXIT_CHECK_FAILED;
  }

  private static void log(String text) {
    System.out.println("demo: " + text);
  }
}
