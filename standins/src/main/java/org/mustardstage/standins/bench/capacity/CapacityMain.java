package org.mustardstage.standins.bench.capacity;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.google.errorprone.annotations.FormatMethod;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.ToLongFunction;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.lookup.CallerBlockTable;
import org.mustardstage.core.lookup.LookupTable;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.ManifestProblem;
import org.mustardstage.core.member.Member;
import org.mustardstage.schema.ManifestAssembler;
import org.mustardstage.schema.ManifestParts;
import org.mustardstage.schema.ManifestReader;
import org.mustardstage.schema.ManifestWriter;

/** Prints the memory, processor time and bytes that the control plane needs at several sizes. */
@Command(name = "capacity", description = "Measures what control costs at the size of the target")
public final class CapacityMain {
  private static final int CALLER_BLOCKS = 220_000;
  private static final int SITES = 260;
  private static final int REGIONS = 20;
  private static final int ZONES = 45;
  private static final int VMS_PER_ZONE = 29;
  private static final int LOOKUPS_PER_ROUND = 20_000_000;
  private static final Duration WARM_UP = Duration.ofSeconds(20);
  private static final Duration MEASUREMENT = Duration.ofSeconds(20);
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double BYTES_PER_MEBIBYTE = 1 << 20;

  @Option(name = "--part", description = "manifest, look-up or members; all when left out")
  private String part = "all";

  /** Creates the command; the parser sets its fields from the command line. */
  public CapacityMain() {}

  /** Runs the selected measurements. */
  public static void main(String[] arguments) {
    SingleCommand.singleCommand(CapacityMain.class).parse(arguments).run();
  }

  private void run() {
    if (isPartSelected("manifest")) {
      measureManifest();
    }
    if (isPartSelected("look-up")) {
      measureLookups();
    }
    if (isPartSelected("members")) {
      measureMembers(6, 3, 4);
      measureMembers(12, 6, 10);
      measureMembers(24, 12, 20);
      measureMembers(ZONES, REGIONS, VMS_PER_ZONE);
    }
  }

  private boolean isPartSelected(String name) {
    return part.equals("all") || part.equals(name);
  }

  private static void measureManifest() {
    Manifest manifest = SyntheticManifest.create(CALLER_BLOCKS, SITES, REGIONS, ZONES, 9);
    String yaml = ManifestWriter.write(manifest);
    print(
        "manifest: blocks %d, sites %d, YAML %.1f MiB",
        CALLER_BLOCKS, SITES, mebibytes(yaml.length()));
    long startNanos = System.nanoTime();
    Either<List<ManifestProblem>, Manifest> read = ManifestReader.read(yaml);
    print("manifest: read and check %.0f ms, valid %b", millisSince(startNanos), read.isRight());
    startNanos = System.nanoTime();
    ManifestParts parts = ManifestParts.split(manifest);
    print(
        "manifest: split %.0f ms, %d objects, %.1f MiB",
        millisSince(startNanos), parts.objects().size(), mebibytes(totalBytes(parts.objects())));
    ManifestAssembler assembler = new ManifestAssembler();
    startNanos = System.nanoTime();
    parts.objects().forEach(assembler::read);
    print("manifest: read of all parts at a new VM %.0f ms", millisSince(startNanos));
    measureManifestChange(parts, assembler);
  }

  private static void measureManifestChange(ManifestParts before, ManifestAssembler assembler) {
    Manifest changed = SyntheticManifest.create(CALLER_BLOCKS, SITES, REGIONS, ZONES, 8);
    ManifestParts after = ManifestParts.split(changed);
    Set<String> newHashes = new HashSet<>(after.objects().keySet());
    newHashes.removeAll(before.objects().keySet());
    long changeBytes =
        newHashes.stream().mapToLong(hash -> utf8Bytes(after.objects().get(hash))).sum();
    print("manifest: change of one endpoint: %d objects, %d bytes", newHashes.size(), changeBytes);
    long startNanos = System.nanoTime();
    newHashes.forEach(hash -> assembler.read(hash, after.objects().get(hash)));
    double readMillis = millisSince(startNanos);
    startNanos = System.nanoTime();
    boolean isAssembled = assembler.assemble(after.rootHash()).isRight();
    print(
        "manifest: change at a VM: read %.1f ms off the control thread, joined %.1f ms on it, %b",
        readMillis, millisSince(startNanos), isAssembled);
  }

  private static long totalBytes(Map<String, String> objects) {
    return objects.values().stream().mapToLong(CapacityMain::utf8Bytes).sum();
  }

  private static long utf8Bytes(String content) {
    return content.getBytes(StandardCharsets.UTF_8).length;
  }

  private static void measureLookups() {
    Manifest manifest = SyntheticManifest.create(CALLER_BLOCKS, SITES, REGIONS, ZONES, 9);
    List<Member> members =
        MembershipSimulation.of(ZONES, REGIONS, VMS_PER_ZONE).nodes().stream()
            .map(MembershipSimulation.Node::member)
            .toList();
    long heapBefore = usedHeap();
    CallerBlockTable blocks = CallerBlockTable.of(manifest.callerBlocks());
    print("look-up: block table %.1f MiB", mebibytes(usedHeap() - heapBefore));
    long startNanos = System.nanoTime();
    LookupTable table = createTable(blocks, members, Optional.empty());
    print("look-up: first table made in %.1f ms", millisSince(startNanos));
    startNanos = System.nanoTime();
    createTable(blocks, members.subList(1, members.size()), Optional.of(table));
    print("look-up: table made in %.1f ms when a VM goes", millisSince(startNanos));
    for (int round = 0; round < 3; round++) {
      print("look-up: %.0f ns each", nanosPerLookup(table));
    }
  }

  private static LookupTable createTable(
      CallerBlockTable blocks, List<Member> members, Optional<LookupTable> previous) {
    RegionId ownRegion = new RegionId("region-0");
    return LookupTable.of(new ConfigVersion(1), blocks, ownRegion, members, previous);
  }

  private static double nanosPerLookup(LookupTable table) {
    SplittableRandom random = new SplittableRandom(1);
    long found = 0;
    long startNanos = System.nanoTime();
    for (int i = 0; i < LOOKUPS_PER_ROUND; i++) {
      found += table.find(random.nextInt()).size();
    }
    double nanosPerLookup = (double) (System.nanoTime() - startNanos) / LOOKUPS_PER_ROUND;
    if (found == 0) {
      throw new IllegalStateException("no lookup found a VM");
    }
    return nanosPerLookup;
  }

  private static void measureMembers(int zones, int regions, int vmsPerZone) {
    long heapBefore = usedHeap();
    MembershipSimulation simulation = MembershipSimulation.of(zones, regions, vmsPerZone);
    int count = simulation.nodes().size();
    simulation.advance(WARM_UP);
    long knownMembers =
        simulation
            .nodes()
            .getFirst()
            .membership()
            .view(simulation.nowNanos())
            .membersAcceptingCallers()
            .size();
    simulation.resetCounters();
    simulation.advance(MEASUREMENT);
    double heapPerNode = (double) (usedHeap() - heapBefore) / count;
    print(
        "members: %d VMs, %d zones, %d regions, known %d, state %.2f MiB a VM",
        count, zones, regions, knownMembers, heapPerNode / BYTES_PER_MEBIBYTE);
    printRates("steady", simulation, MEASUREMENT);
    simulation.resetCounters();
    simulation.setConfigVersion(new ConfigVersion(2));
    simulation.advance(MEASUREMENT);
    printRates("with one change of version", simulation, MEASUREMENT);
  }

  private static void printRates(String phase, MembershipSimulation simulation, Duration duration) {
    double seconds = duration.toSeconds();
    print(
        "members: %s: a VM sends %.1f messages/s (most %.1f), %.2f KB/s (most %.2f), receives"
            + " %.2f KB/s (most %.2f), processor %.2f%% (most %.2f%%)",
        phase,
        mean(simulation, MembershipSimulation.Node::sentMessages) / seconds,
        max(simulation, MembershipSimulation.Node::sentMessages) / seconds,
        mean(simulation, MembershipSimulation.Node::sentBytes) / seconds / 1e3,
        max(simulation, MembershipSimulation.Node::sentBytes) / seconds / 1e3,
        mean(simulation, MembershipSimulation.Node::receivedBytes) / seconds / 1e3,
        max(simulation, MembershipSimulation.Node::receivedBytes) / seconds / 1e3,
        mean(simulation, MembershipSimulation.Node::cpuNanos) / seconds / 1e7,
        max(simulation, MembershipSimulation.Node::cpuNanos) / seconds / 1e7);
  }

  private static double mean(
      MembershipSimulation simulation, ToLongFunction<MembershipSimulation.Node> count) {
    return simulation.nodes().stream().mapToLong(count).average().orElseThrow();
  }

  private static double max(
      MembershipSimulation simulation, ToLongFunction<MembershipSimulation.Node> count) {
    return (double)
        simulation.nodes().stream()
            .map(count::applyAsLong)
            .max(Comparator.naturalOrder())
            .orElseThrow();
  }

  private static long usedHeap() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static double millisSince(long startNanos) {
    return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
  }

  private static double mebibytes(long bytes) {
    return bytes / BYTES_PER_MEBIBYTE;
  }

  @FormatMethod
  private static void print(String format, Object... arguments) {
    System.out.println(String.format(Locale.ROOT, format, arguments));
  }
}
