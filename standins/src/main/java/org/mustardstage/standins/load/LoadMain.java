package org.mustardstage.standins.load;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.Service;
import org.mustardstage.schema.JsonMessages;
import org.mustardstage.schema.generated.LoadCall;
import org.mustardstage.schema.generated.LoadPlan;
import org.mustardstage.schema.generated.LoadSummary;
import org.mustardstage.standins.http.InputFiles;
import org.mustardstage.standins.http.InvalidInputException;

/** Sends an open-loop load through entry VMs and writes a summary of the outcomes. */
@Command(name = "mustardstage-load", description = "Open-loop load through entry VMs, for tests")
public final class LoadMain {
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;

  @Option(
      name = {"--manifest"},
      description = "File of the manifest that declares services and calls")
  @Required
  private String manifestFile;

  @Option(
      name = {"--plan"},
      description = "File of the load plan")
  @Required
  private String planFile;

  @Option(
      name = {"--lookup"},
      description = "Traffic address (host:port) of an entry VM for lookups; can be repeated")
  @Required
  private List<String> lookupAddresses = new ArrayList<>();

  @Option(
      name = {"--summary"},
      description = "File for the JSON summary; default: standard output")
  private String summaryFile;

  /** Sends the whole load and writes the summary. */
  public static void main(String[] arguments) throws IOException {
    try {
      SingleCommand.singleCommand(LoadMain.class).parse(arguments).run();
    } catch (ParseException | InvalidInputException | IllegalArgumentException e) {
      System.err.println("mustardstage-load: " + e.getMessage());
      System.exit(EXIT_USAGE);
    } catch (IOException e) {
      System.err.println("mustardstage-load: can't write the summary file: " + e.getMessage());
      System.exit(EXIT_FAILED);
    }
  }

  private void run() throws InvalidInputException, IOException {
    Manifest manifest = InputFiles.readManifest(manifestFile);
    LoadPlan plan = InputFiles.readSettings(planFile, LoadPlan.class);
    checkCalls(manifest, plan);
    List<HostAndPort> knownEntryVms = lookupAddresses.stream().map(HostAndPort::parse).toList();
    byte[] summary = JsonMessages.write(run(manifest, plan, knownEntryVms));
    if (summaryFile == null) {
      System.out.write(summary);
      System.out.println();
    } else {
      Files.write(Path.of(summaryFile), summary);
    }
  }

  /** Sends the load of {@code plan}; returns a summary when every request has an outcome. */
  public static LoadSummary run(Manifest manifest, LoadPlan plan, List<HostAndPort> knownEntryVms) {
    Eventloop eventloop = Eventloop.builder().withFatalErrorHandler(LoadMain::fail).build();
    CompletableFuture<LoadSummary> summary = new CompletableFuture<>();
    eventloop.execute(
        () ->
            new LoadRunner(eventloop, manifest, plan, knownEntryVms)
                .start()
                .whenResult(
                    result -> {
                      summary.complete(result);
                      eventloop.breakEventloop();
                    }));
    eventloop.run();
    return summary.join();
  }

  private static void checkCalls(Manifest manifest, LoadPlan plan) throws InvalidInputException {
    for (LoadCall call : plan.getCalls()) {
      if (manifest.services().stream().noneMatch(service -> offers(service, call))) {
        throw new InvalidInputException(
            "the manifest declares no call " + call.getCall() + " of service " + call.getService());
      }
    }
    if (manifest.callerBlocks().isEmpty()) {
      throw new InvalidInputException(
          "the manifest declares no caller blocks; callers need addresses from them");
    }
  }

  private static boolean offers(Service service, LoadCall call) {
    return service.name().value().equals(call.getService())
        && service.calls().stream().anyMatch(c -> c.name().value().equals(call.getCall()));
  }

  private static void fail(Throwable e, Object context) {
    throw new IllegalStateException(
        "uncaught exception in the event loop of the load tool, context: " + context, e);
  }
}
