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

/** Prints what control costs in memory, processor time and bytes at several sizes. */
@Command(name = "capacity", description = "Measures what control costs at the size of the target")
public final class CapacityMain {
  private static final int BLOCKS = 220_000;
  private static final int SITES = 260;
  private static final int REGIONS = 20;
  private static final int ZONES = 45;
  private static final int VMS_PER_ZONE = 29;
  private static final int LOOKUPS = 20_000_000;
  private static final Duration SETTLE = Duration.ofSeconds(20);
  private static final Duration MEASURED = Duration.ofSeconds(20);
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double BYTES_PER_MEBIBYTE = 1 << 20;

  @Option(name = "--part", description = "manifest, look-up or members; all when left out")
  private String part = "all";

  /** Creates the command; its fields are set from the command line. */
  public CapacityMain() {}

  /** Runs the measurements. */
  public static void main(String[] arguments) {
    SingleCommand.singleCommand(CapacityMain.class).parse(arguments).run();
  }

  private void run() {
    if (isChosen("manifest")) {
      measureManifest();
    }
    if (isChosen("look-up")) {
      measureLookups();
    }
    if (isChosen("members")) {
      measureMembers(6, 3, 4);
      measureMembers(12, 6, 10);
      measureMembers(24, 12, 20);
      measureMembers(ZONES, REGIONS, VMS_PER_ZONE);
    }
  }

  private boolean isChosen(String name) {
    return part.equals("all") || part.equals(name);
  }

  private static void measureManifest() {
    Manifest manifest = FullSizeManifest.of(BLOCKS, SITES, REGIONS, ZONES, 9);
    String yaml = ManifestWriter.write(manifest);
    print("manifest: blocks %d, sites %d, YAML %.1f MiB", BLOCKS, SITES, mebibytes(yaml.length()));
    long startNanos = System.nanoTime();
    Either<List<ManifestProblem>, Manifest> read = ManifestReader.read(yaml);
    print("manifest: read and check %.0f ms, valid %b", millisSince(startNanos), read.isRight());
    startNanos = System.nanoTime();
    ManifestParts parts = ManifestParts.split(manifest);
    print(
        "manifest: split %.0f ms, %d objects, %.1f MiB",
        millisSince(startNanos), parts.objects().size(), mebibytes(bytesOf(parts.objects())));
    ManifestAssembler assembler = new ManifestAssembler();
    startNanos = System.nanoTime();
    parts.objects().forEach(assembler::read);
    print("manifest: read of all parts at a new VM %.0f ms", millisSince(startNanos));
    measureChange(parts, assembler);
  }

  private static void measureChange(ManifestParts before, ManifestAssembler assembler) {
    Manifest changed = FullSizeManifest.of(BLOCKS, SITES, REGIONS, ZONES, 8);
    ManifestParts after = ManifestParts.split(changed);
    Set<String> fresh = new HashSet<>(after.objects().keySet());
    fresh.removeAll(before.objects().keySet());
    long changeBytes = fresh.stream().mapToLong(hash -> bytes(after.objects().get(hash))).sum();
    print("manifest: change of one endpoint: %d objects, %d bytes", fresh.size(), changeBytes);
    long startNanos = System.nanoTime();
    fresh.forEach(hash -> assembler.read(hash, after.objects().get(hash)));
    double readMillis = millisSince(startNanos);
    startNanos = System.nanoTime();
    boolean whole = assembler.assemble(after.rootHash()).isRight();
    print(
        "manifest: change at a VM: read %.1f ms off the control thread, joined %.1f ms on it, %b",
        readMillis, millisSince(startNanos), whole);
  }

  private static long bytesOf(Map<String, String> objects) {
    return objects.values().stream().mapToLong(CapacityMain::bytes).sum();
  }

  private static long bytes(String content) {
    return content.getBytes(StandardCharsets.UTF_8).length;
  }

  private static void measureLookups() {
    Manifest manifest = FullSizeManifest.of(BLOCKS, SITES, REGIONS, ZONES, 9);
    List<Member> members =
        MemberFleet.of(ZONES, REGIONS, VMS_PER_ZONE).nodes().stream()
            .map(MemberFleet.Node::member)
            .toList();
    long heapBefore = usedHeap();
    CallerBlockTable blocks = CallerBlockTable.of(manifest.callerBlocks());
    print("look-up: block table %.1f MiB", mebibytes(usedHeap() - heapBefore));
    long startNanos = System.nanoTime();
    LookupTable table = newTable(blocks, members, Optional.empty());
    print("look-up: first table made in %.1f ms", millisSince(startNanos));
    startNanos = System.nanoTime();
    newTable(blocks, members.subList(1, members.size()), Optional.of(table));
    print("look-up: table made in %.1f ms when a VM goes", millisSince(startNanos));
    for (int round = 0; round < 3; round++) {
      print("look-up: %.0f ns each", lookupNanos(table));
    }
  }

  private static LookupTable newTable(
      CallerBlockTable blocks, List<Member> members, Optional<LookupTable> earlier) {
    RegionId ownRegion = new RegionId("region-0");
    return LookupTable.of(new ConfigVersion(1), blocks, ownRegion, members, earlier);
  }

  private static double lookupNanos(LookupTable table) {
    SplittableRandom random = new SplittableRandom(1);
    long found = 0;
    long startNanos = System.nanoTime();
    for (int i = 0; i < LOOKUPS; i++) {
      found += table.find(random.nextInt()).size();
    }
    double eachNanos = (double) (System.nanoTime() - startNanos) / LOOKUPS;
    if (found == 0) {
      throw new IllegalStateException("no look-up found a VM");
    }
    return eachNanos;
  }

  private static void measureMembers(int zones, int regions, int vmsPerZone) {
    long heapBefore = usedHeap();
    MemberFleet fleet = MemberFleet.of(zones, regions, vmsPerZone);
    int count = fleet.nodes().size();
    fleet.advance(SETTLE);
    long known =
        fleet.nodes().getFirst().state().view(fleet.nowNanos()).membersAcceptingCallers().size();
    fleet.resetCounts();
    fleet.advance(MEASURED);
    double heapPerNode = (double) (usedHeap() - heapBefore) / count;
    print(
        "members: %d VMs, %d zones, %d regions, known %d, state %.2f MiB a VM",
        count, zones, regions, known, heapPerNode / BYTES_PER_MEBIBYTE);
    printRates("steady", fleet, MEASURED);
    fleet.resetCounts();
    fleet.setVersion(new ConfigVersion(2));
    fleet.advance(MEASURED);
    printRates("with one change of version", fleet, MEASURED);
  }

  private static void printRates(String what, MemberFleet fleet, Duration duration) {
    double seconds = duration.toSeconds();
    print(
        "members: %s: a VM sends %.1f messages/s (most %.1f), %.2f KB/s (most %.2f), receives"
            + " %.2f KB/s (most %.2f), processor %.2f%% (most %.2f%%)",
        what,
        mean(fleet, MemberFleet.Node::sentMessages) / seconds,
        most(fleet, MemberFleet.Node::sentMessages) / seconds,
        mean(fleet, MemberFleet.Node::sentBytes) / seconds / 1e3,
        most(fleet, MemberFleet.Node::sentBytes) / seconds / 1e3,
        mean(fleet, MemberFleet.Node::receivedBytes) / seconds / 1e3,
        most(fleet, MemberFleet.Node::receivedBytes) / seconds / 1e3,
        mean(fleet, MemberFleet.Node::cpuNanos) / seconds / 1e7,
        most(fleet, MemberFleet.Node::cpuNanos) / seconds / 1e7);
  }

  private static double mean(MemberFleet fleet, ToLongFunction<MemberFleet.Node> count) {
    return fleet.nodes().stream().mapToLong(count).average().orElseThrow();
  }

  private static double most(MemberFleet fleet, ToLongFunction<MemberFleet.Node> count) {
    return (double)
        fleet.nodes().stream().map(count::applyAsLong).max(Comparator.naturalOrder()).orElseThrow();
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
