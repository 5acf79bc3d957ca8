package org.mustardstage.standins.demo;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.Zone;
import org.mustardstage.schema.JsonMessages;
import org.mustardstage.schema.generated.EndpointRecord;
import org.mustardstage.schema.generated.EntrySettings;
import org.mustardstage.standins.http.InputFiles;
import org.mustardstage.standins.http.InvalidInputException;

/**
 * The processes of one deployment on loopback addresses: the platform stand-in, endpoint stand-ins
 * and entry VMs.
 */
public final class Deployment {
  private static final Duration START_TIMEOUT = Duration.ofMinutes(2);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

  private final ProgramCommands programs;
  private final Path exampleFolder;
  private final Path logFolder;
  private final Manifest manifest;
  private final String platformAddress;
  private final LocalHttpClient http = new LocalHttpClient();
  private final List<ChildProcess> otherProcesses = new ArrayList<>();
  private final Map<String, ChildProcess> entryVms = new LinkedHashMap<>();
  private final Map<String, EntrySettings> settings = new LinkedHashMap<>();

  /**
   * Creates a deployment without starting any process.
   *
   * @param programs the commands that start the programs
   * @param exampleFolder the folder with the manifest, profile and settings files
   * @param logFolder the folder for the output of the processes
   * @throws InvalidInputException if the manifest or the settings of the example can't be used
   */
  public Deployment(ProgramCommands programs, Path exampleFolder, Path logFolder)
      throws InvalidInputException {
    this.programs = programs;
    this.exampleFolder = exampleFolder;
    this.logFolder = logFolder;
    this.manifest = InputFiles.readManifest(exampleFolder.resolve("demo-manifest.yaml").toString());
    this.platformAddress = readSettings(firstVm()).getPlatformAddress();
  }

  /** Returns the manifest of the example, without later changes. */
  public Manifest manifest() {
    return manifest;
  }

  /**
   * Starts the stand-ins and {@code vmsPerZone} entry VMs in each zone, and waits until all of them
   * respond.
   */
  public void start(int vmsPerZone)
      throws IOException, InterruptedException, InvalidInputException {
    HostAndPort platform = HostAndPort.parse(platformAddress);
    otherProcesses.add(
        startProcess(
            "platform",
            "mustardstage-platform",
            List.of("--address", platform.host(), "--port", Integer.toString(platform.port()))));
    for (Zone zone : manifest.zones()) {
      startEndpoints(zone);
      for (int number = 1; number <= vmsPerZone; number++) {
        startEntryVm(zone.id() + "-vm-" + number);
      }
    }
    awaitResponse("http://" + platformAddress + "/v1/vms");
    for (Endpoint endpoint : endpoints()) {
      awaitResponse("http://" + endpoint.address() + "/-/load");
    }
    for (String vm : entryVms.keySet()) {
      awaitResponse("http://" + adminAddress(vm) + "/health");
    }
  }

  /** Starts or restarts the entry VM {@code vm}. */
  public void startEntryVm(String vm) throws IOException, InvalidInputException {
    settings.put(vm, readSettings(vm));
    entryVms.put(
        vm, startProcess(vm, "mustardstage-entry", List.of("--settings", settingsFile(vm))));
  }

  /** Waits until every running entry VM reports that it is ready. */
  public void awaitReady() throws InterruptedException {
    for (Map.Entry<String, ChildProcess> entryVm : entryVms.entrySet()) {
      if (entryVm.getValue().isAlive()) {
        awaitResponse("http://" + adminAddress(entryVm.getKey()) + "/ready");
      }
    }
  }

  /** Returns the process of the entry VM {@code vm}. */
  public ChildProcess entryVm(String vm) {
    return entryVms.get(vm);
  }

  /** Removes the entry VM {@code vm} from the platform's list of VMs. */
  public void removeFromVmList(String vm) throws InterruptedException {
    http.send("DELETE", "http://" + platformAddress + "/v1/vms/" + vm);
  }

  /**
   * Runs the {@code mustardstage} command against the running entry VMs; returns its exit code, or
   * -1 on a timeout.
   */
  public int runCommand(String name, String... arguments) throws IOException, InterruptedException {
    List<String> all = new ArrayList<>(List.of(arguments));
    entryVms.forEach(
        (vm, child) -> {
          if (child.isAlive()) {
            all.add("--vm");
            all.add(adminAddress(vm));
          }
        });
    return startProcess(name, "mustardstage", all).awaitExit(START_TIMEOUT.toSeconds());
  }

  /** Starts the load tool with {@code plan}; it writes its summary to {@code summary}. */
  public ChildProcess startLoad(Path plan, Path summary) throws IOException {
    List<String> arguments =
        new ArrayList<>(
            List.of(
                "--manifest",
                exampleFolder.resolve("demo-manifest.yaml").toString(),
                "--plan",
                plan.toString(),
                "--summary",
                summary.toString()));
    for (HostAndPort address : trafficAddresses()) {
      arguments.add("--lookup");
      arguments.add(address.toString());
    }
    ChildProcess load = startProcess("load", "mustardstage-load", arguments);
    otherProcesses.add(load);
    return load;
  }

  /** Returns the record of runs that each endpoint keeps. */
  public List<EndpointRecord> endpointRecords() throws InterruptedException, InvalidInputException {
    ImmutableList.Builder<EndpointRecord> records = ImmutableList.builder();
    for (Endpoint endpoint : endpoints()) {
      byte[] body =
          http.send("GET", "http://" + endpoint.address() + "/-/record")
              .orElseThrow(
                  () -> new InvalidInputException("no record from endpoint " + endpoint.id()));
      records.add(
          JsonMessages.read(body, EndpointRecord.class)
              .getOrElseThrow(problems -> new InvalidInputException(problems.toString())));
    }
    return records.build();
  }

  /**
   * Returns the wall-clock time at which the newest manifest was accepted, from the audit trail.
   */
  public long lastAcceptedTimeMillis() throws InterruptedException, InvalidInputException {
    for (Map.Entry<String, ChildProcess> entryVm : entryVms.entrySet()) {
      Optional<byte[]> audit =
          entryVm.getValue().isAlive()
              ? http.send("GET", "http://" + adminAddress(entryVm.getKey()) + "/v1/audit?limit=1")
              : Optional.empty();
      if (audit.isPresent()) {
        return JsonMessages.readTree(audit.get()).get().findPath("timeMillis").asLong();
      }
    }
    throw new InvalidInputException("no running entry VM returned the audit trail");
  }

  /**
   * Stops every process that this deployment started. Entry VMs are killed first, without a
   * graceful stop.
   */
  public void stop() throws InterruptedException {
    for (ChildProcess child : entryVms.values()) {
      child.kill();
    }
    for (ChildProcess child : otherProcesses) {
      child.stop();
    }
    for (ChildProcess child : entryVms.values()) {
      child.stop();
    }
  }

  private List<Endpoint> endpoints() {
    return manifest.services().stream().flatMap(s -> s.endpoints().stream()).toList();
  }

  private void startEndpoints(Zone zone) throws IOException {
    List<String> arguments =
        new ArrayList<>(
            List.of(
                "--manifest",
                exampleFolder.resolve("demo-manifest.yaml").toString(),
                "--profile",
                exampleFolder.resolve("endpoint-profile.yaml").toString()));
    for (Endpoint endpoint : endpoints()) {
      if (endpoint.zone().equals(zone.id())) {
        arguments.add("--endpoint");
        arguments.add(endpoint.id().value());
      }
    }
    otherProcesses.add(startProcess("endpoints-" + zone.id(), "mustardstage-endpoint", arguments));
  }

  private ChildProcess startProcess(String name, String program, List<String> arguments)
      throws IOException {
    List<String> command = new ArrayList<>(programs.command(program));
    command.addAll(arguments);
    return ChildProcess.start(exampleFolder, logFolder, name, command);
  }

  private String firstVm() {
    return manifest.zones().getFirst().id() + "-vm-1";
  }

  private EntrySettings readSettings(String vm) throws InvalidInputException {
    return InputFiles.readSettings(settingsFile(vm), EntrySettings.class);
  }

  private String settingsFile(String vm) {
    return exampleFolder.resolve("settings").resolve(vm + ".yaml").toString();
  }

  /** Returns the traffic addresses of all entry VMs that were started, running or not. */
  public List<HostAndPort> trafficAddresses() {
    return settings.values().stream()
        .map(vm -> new HostAndPort(vm.getAddress(), Math.toIntExact(vm.getTrafficPort())))
        .toList();
  }

  /** Returns the admin address (host:port) of the entry VM {@code vm}. */
  public String adminAddress(String vm) {
    EntrySettings entryVm = settings.get(vm);
    return entryVm.getAddress() + ":" + entryVm.getAdminPort();
  }

  private void awaitResponse(String url) throws InterruptedException {
    long startNanos = System.nanoTime();
    while (http.send("GET", url).isEmpty()) {
      if (System.nanoTime() - startNanos > START_TIMEOUT.toNanos()) {
        throw new IllegalStateException("no response with status 200 from " + url);
      }
      Thread.sleep(POLL_INTERVAL);
    }
  }
}
