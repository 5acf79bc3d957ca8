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
import org.mustardstage.standins.http.DocumentException;
import org.mustardstage.standins.http.Documents;

/** The processes of one deployment on loopback addresses. */
public final class Deployment {
  private static final Duration START_LIMIT = Duration.ofMinutes(2);
  private static final Duration POLL = Duration.ofMillis(50);

  private final Binaries binaries;
  private final Path folder;
  private final Path logs;
  private final Manifest manifest;
  private final String platformAddress;
  private final LocalHttp http = new LocalHttp();
  private final List<Child> others = new ArrayList<>();
  private final Map<String, Child> entryVms = new LinkedHashMap<>();
  private final Map<String, EntrySettings> settings = new LinkedHashMap<>();

  /**
   * Makes a deployment of which nothing runs yet.
   *
   * @param binaries the programs to start
   * @param folder the folder of the example
   * @param logs the folder for the output of the processes
   * @throws DocumentException if the manifest of the example can't be used
   */
  public Deployment(Binaries binaries, Path folder, Path logs) throws DocumentException {
    this.binaries = binaries;
    this.folder = folder;
    this.logs = logs;
    this.manifest = Documents.readManifest(folder.resolve("demo-manifest.yaml").toString());
    this.platformAddress = readSettings(firstVm()).getPlatformAddress();
  }

  /** Returns the manifest that it starts with. */
  public Manifest manifest() {
    return manifest;
  }

  /** Starts the stand-ins and {@code vmsPerZone} entry VMs in each zone. */
  public void start(int vmsPerZone) throws IOException, InterruptedException, DocumentException {
    HostAndPort platform = HostAndPort.parse(platformAddress);
    others.add(
        startChild(
            "platform",
            "mustardstage-platform",
            List.of("--address", platform.host(), "--port", Integer.toString(platform.port()))));
    for (Zone zone : manifest.zones()) {
      startEndpoints(zone);
      for (int number = 1; number <= vmsPerZone; number++) {
        startEntryVm(zone.id() + "-vm-" + number);
      }
    }
    awaitAnswer("http://" + platformAddress + "/v1/vms");
    for (Endpoint endpoint : endpoints()) {
      awaitAnswer("http://" + endpoint.address() + "/-/load");
    }
    for (String vm : entryVms.keySet()) {
      awaitAnswer("http://" + adminAddress(vm) + "/health");
    }
  }

  /** Starts the entry VM that is called {@code vm}, again if it ran before. */
  public void startEntryVm(String vm) throws IOException, DocumentException {
    settings.put(vm, readSettings(vm));
    entryVms.put(vm, startChild(vm, "mustardstage-entry", List.of("--settings", settingsFile(vm))));
  }

  /** Waits until every entry VM that runs says that it is ready. */
  public void awaitReady() throws InterruptedException {
    for (Map.Entry<String, Child> entryVm : entryVms.entrySet()) {
      if (entryVm.getValue().isAlive()) {
        awaitAnswer("http://" + adminAddress(entryVm.getKey()) + "/ready");
      }
    }
  }

  /** Returns the process of the entry VM that is called {@code vm}. */
  public Child entryVm(String vm) {
    return entryVms.get(vm);
  }

  /** Tells the platform that the entry VM was removed. */
  public void removeFromList(String vm) throws InterruptedException {
    http.call("DELETE", "http://" + platformAddress + "/v1/vms/" + vm);
  }

  /** Runs the operators' command; returns its exit code. */
  public int command(String name, String... arguments) throws IOException, InterruptedException {
    List<String> all = new ArrayList<>(List.of(arguments));
    entryVms.forEach(
        (vm, child) -> {
          if (child.isAlive()) {
            all.add("--vm");
            all.add(adminAddress(vm));
          }
        });
    return startChild(name, "mustardstage", all).await(START_LIMIT.toSeconds());
  }

  /** Starts the load of {@code plan}, with its summary in {@code summary}. */
  public Child startLoad(Path plan, Path summary) throws IOException {
    List<String> arguments =
        new ArrayList<>(
            List.of(
                "--manifest",
                folder.resolve("demo-manifest.yaml").toString(),
                "--plan",
                plan.toString(),
                "--summary",
                summary.toString()));
    for (HostAndPort address : trafficAddresses()) {
      arguments.add("--lookup");
      arguments.add(address.toString());
    }
    Child load = startChild("load", "mustardstage-load", arguments);
    others.add(load);
    return load;
  }

  /** Returns what the endpoints ran, by their own records. */
  public List<EndpointRecord> records() throws InterruptedException, DocumentException {
    ImmutableList.Builder<EndpointRecord> records = ImmutableList.builder();
    for (Endpoint endpoint : endpoints()) {
      byte[] body =
          http.call("GET", "http://" + endpoint.address() + "/-/record")
              .orElseThrow(() -> new DocumentException("no record from " + endpoint.id()));
      records.add(
          JsonMessages.read(body, EndpointRecord.class)
              .getOrElseThrow(problems -> new DocumentException(problems.toString())));
    }
    return records.build();
  }

  /** Returns when the manifest in force was accepted, by the wall clock, from the audit trail. */
  public long lastAcceptedMillis() throws InterruptedException, DocumentException {
    for (Map.Entry<String, Child> entryVm : entryVms.entrySet()) {
      Optional<byte[]> audit =
          entryVm.getValue().isAlive()
              ? http.call("GET", "http://" + adminAddress(entryVm.getKey()) + "/v1/audit?limit=1")
              : Optional.empty();
      if (audit.isPresent()) {
        return JsonMessages.readTree(audit.get()).get().findPath("timeMillis").asLong();
      }
    }
    throw new DocumentException("no entry VM gave the audit trail");
  }

  /** Ends every process that it started. */
  public void end() throws InterruptedException {
    for (Child child : entryVms.values()) {
      child.kill();
    }
    for (Child child : others) {
      child.end();
    }
    for (Child child : entryVms.values()) {
      child.end();
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
                folder.resolve("demo-manifest.yaml").toString(),
                "--profile",
                folder.resolve("endpoint-profile.yaml").toString()));
    for (Endpoint endpoint : endpoints()) {
      if (endpoint.zone().equals(zone.id())) {
        arguments.add("--endpoint");
        arguments.add(endpoint.id().value());
      }
    }
    others.add(startChild("endpoints-" + zone.id(), "mustardstage-endpoint", arguments));
  }

  private Child startChild(String name, String binary, List<String> arguments) throws IOException {
    List<String> command = new ArrayList<>(binaries.command(binary));
    command.addAll(arguments);
    return Child.start(folder, logs, name, command);
  }

  private String firstVm() {
    return manifest.zones().getFirst().id() + "-vm-1";
  }

  private EntrySettings readSettings(String vm) throws DocumentException {
    return Documents.readSettings(settingsFile(vm), EntrySettings.class);
  }

  private String settingsFile(String vm) {
    return folder.resolve("settings").resolve(vm + ".yaml").toString();
  }

  /** Returns the traffic addresses of the entry VMs, running or not. */
  public List<HostAndPort> trafficAddresses() {
    return settings.values().stream()
        .map(vm -> new HostAndPort(vm.getAddress(), Math.toIntExact(vm.getTrafficPort())))
        .toList();
  }

  /** Returns the admin address of the entry VM that is called {@code vm}. */
  public String adminAddress(String vm) {
    EntrySettings entryVm = settings.get(vm);
    return entryVm.getAddress() + ":" + entryVm.getAdminPort();
  }

  private void awaitAnswer(String url) throws InterruptedException {
    long startNanos = System.nanoTime();
    while (http.call("GET", url).isEmpty()) {
      if (System.nanoTime() - startNanos > START_LIMIT.toNanos()) {
        throw new IllegalStateException("no answer from " + url);
      }
      Thread.sleep(POLL);
    }
  }
}
