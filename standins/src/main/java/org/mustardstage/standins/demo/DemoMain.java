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

/** Runs a deployment under load while an endpoint drains and entry VMs stop and die. */
@Command(name = "demo", description = "Run a deployment under load, changes and faults")
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

  /** Creates the command; its fields are set from the command line. */
  public DemoMain() {}

  /** Runs the demo and ends with 0 when every promise was kept. */
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
            ProgramCommands.inBinFolder(top), top.resolve("examples").resolve(deployment), outputFolder);
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

  private int runDeployment(Path top) throws IOException, InvalidInputException, InterruptedException {
    Path example = top.resolve("examples").resolve(deployment);
    log("starting platform, endpoints and entry VMs; output in " + top.relativize(outputFolder));
    processes.start(VMS_PER_ZONE);
    submit("submit-1", example.resolve("demo-manifest.yaml"), FIRST_BASE_VERSION);
    processes.awaitReady();
    log("in force; sending load");
    Path summaryFile = outputFolder.resolve("summary.json");
    Files.deleteIfExists(summaryFile);
    ChildProcess load = processes.startLoad(example.resolve("demo-load.yaml"), summaryFile);
    Thread.sleep(PAUSE_BETWEEN_EVENTS);

    Endpoint drained = processes.manifest().services().getFirst().endpoints().getFirst();
    log("draining endpoint " + drained.id());
    submit("submit-2", writeDrainManifest(example, drained), SECOND_BASE_VERSION);
    final long drainedMillis = processes.lastAcceptedTimeMillis();
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
      throw new IllegalStateException("the load tool ended with " + loadExit);
    }
    return reportAndCheck(summaryFile, drained, drainedMillis);
  }

  private void submit(String name, Path manifest, String baseVersion)
      throws IOException, InterruptedException {
    int exit =
        processes.runCommand(
            name, "submit", manifest.toString(), "--base-version", baseVersion, "--wait");
    if (exit != 0) {
      throw new IllegalStateException(name + " ended with " + exit + ": see its output");
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
        "entry VM %s ended with %d after %d ms"
            .formatted(vm, exit, Duration.ofNanos(System.nanoTime() - startNanos).toMillis()));
  }

  private int reportAndCheck(Path summaryFile, Endpoint drained, long drainedMillis)
      throws IOException, InvalidInputException, InterruptedException {
    LoadSummary load =
        JsonMessages.read(Files.readAllBytes(summaryFile), LoadSummary.class)
            .getOrElseThrow(problems -> new InvalidInputException(problems.toString()));
    List<EndpointRecord> records = processes.endpointRecords();
    OutcomeCheck verdict = OutcomeCheck.of(load, records);
    new DemoReport(System.out).print(load, records, verdict);
    long lateMillis =
        records.stream()
            .filter(record -> record.getEndpoint().equals(drained.id().value()))
            .mapToLong(record -> record.getLastRunStartMillis() - drainedMillis)
            .findFirst()
            .orElseThrow();
    long drainMillis = Math.max(0, lateMillis);
    System.out.printf(
        "%-45s %d ms after the manifest was accepted (limit %d)%n",
        "last new work of the drained endpoint", drainMillis, MAX_DRAIN_DELAY_MILLIS);
    boolean good = verdict.isPassed() && drainMillis <= MAX_DRAIN_DELAY_MILLIS;
    System.out.println(good ? "every promise was kept" : "A PROMISE WAS BROKEN");
    if (!good) {
      System.out.println("run twice: " + verdict.duplicateRuns());
      System.out.println("not run that ran: " + verdict.notRunButExecuted());
      System.out.println("answered without run: " + verdict.responseWithoutRun());
    }
    return good ? 0 : EXIT_CHECK_FAILED;
  }

  private static void log(String text) {
    System.out.println("demo: " + text);
  }
}
