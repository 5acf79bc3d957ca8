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
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.Zone;
import org.mustardstage.schema.JsonMessages;
import org.mustardstage.schema.generated.EndpointRecord;
import org.mustardstage.schema.generated.EntrySettings;
import org.mustardstage.standins.http.DocumentException;
import org.mustardstage.standins.http.Documents;

/** The processes of one deployment on loopback addresses. */
public final class Deployment {
  private static final Duration START_LIMIT = Duration.ofSeconds(40);
  private static final Duration POLL = Duration.ofMillis(50);

  private final Path top;
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
   * @param top the top folder of the project
   * @param folder the folder of the example
   * @param logs the folder for the output of the processes
   * @throws DocumentException if the manifest of the example can't be used
   */
  public Deployment(Path top, Path folder, Path logs) throws DocumentException {
    this.top = top;
    this.folder = folder;
    this.logs = logs;
    this.manifest = Documents.readManifest(folder.resolve("demo-manifest.yaml").toString());
    this.platformAddress = "127.0.0.1:7100";
  }

  /** Returns the manifest that it starts with. */
  public Manifest manifest() {
    return manifest;
  }

  /** Starts the stand-ins and {@code vmsPerZone} entry VMs in each zone. */
  public void start(int vmsPerZone) throws IOException, InterruptedException, DocumentException {
    others.add(Child.start(top, logs, "platform", "mustardstage-platform"));
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
    String file = folder.resolve("settings").resolve(vm + ".yaml").toString();
    settings.put(vm, Documents.readSettings(file, EntrySettings.class));
    entryVms.put(vm, Child.start(top, logs, vm, "mustardstage-entry", "--settings", file));
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
    Child child = Child.start(top, logs, name, "mustardstage", all.toArray(String[]::new));
    return child.await(START_LIMIT.toSeconds());
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
    for (EntrySettings vm : settings.values()) {
      arguments.add("--lookup");
      arguments.add(vm.getAddress() + ":" + vm.getTrafficPort());
    }
    Child load =
        Child.start(top, logs, "load", "mustardstage-load", arguments.toArray(String[]::new));
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
    others.add(
        Child.start(
            top,
            logs,
            "endpoints-" + zone.id(),
            "mustardstage-endpoint",
            arguments.toArray(String[]::new)));
  }

  private String adminAddress(String vm) {
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
