package org.mustardstage.schema;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.aMapWithSize;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.CallName;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.Call;
import org.mustardstage.core.manifest.CallerBlock;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.Objective;
import org.mustardstage.core.manifest.PlaceLimit;
import org.mustardstage.core.manifest.Priority;
import org.mustardstage.core.manifest.Service;
import org.mustardstage.core.manifest.Zone;

/**
 * Checks that a manifest survives splitting and assembling, that a small change alters few objects,
 * and that missing and malformed objects are reported.
 */
class ManifestPartsTest {
  private static final RegionId REGION = new RegionId("regina");
  private static final ZoneId ZONE = new ZoneId("regina-a");

  private final ManifestAssembler assembler = new ManifestAssembler();

  @Test
  void assembledPartsEqualTheManifest() {
    Manifest manifest = manifest(9, 10, 172);
    ManifestParts parts = ManifestParts.split(manifest);
    assertThat(assemble(parts.rootHash(), parts.objects()).get(), equalTo(manifest));
  }

  @Test
  void slotChangeAltersOnlyTheServicePartAndTheRoot() {
    ManifestParts before = ManifestParts.split(manifest(9, 10, 172));
    Map<String, String> changed =
        new HashMap<>(ManifestParts.split(manifest(8, 10, 172)).objects());
    changed.keySet().removeAll(before.objects().keySet());
    assertThat(changed, aMapWithSize(2));
  }

  @Test
  void callerBlockChangeAltersOnlyItsPartAndTheRoot() {
    ManifestParts before = ManifestParts.split(manifest(9, 10, 172));
    Map<String, String> changed =
        new HashMap<>(ManifestParts.split(manifest(9, 10, 173)).objects());
    changed.keySet().removeAll(before.objects().keySet());
    assertThat(changed, aMapWithSize(2));
  }

  @Test
  void missingRootIsReported() {
    ManifestParts parts = ManifestParts.split(manifest(9, 10, 172));
    assertThat(
        assemble(parts.rootHash(), Map.of()).getLeft(),
        equalTo(new AssemblyProblem.Missing(List.of(parts.rootHash()))));
  }

  @Test
  void missingPartsAreReported() {
    ManifestParts parts = ManifestParts.split(manifest(9, 10, 172));
    Map<String, String> rootOnly = Map.of(parts.rootHash(), parts.objects().get(parts.rootHash()));
    List<String> others = new ArrayList<>(parts.objects().keySet());
    others.remove(parts.rootHash());
    assertThat(
        assemble(parts.rootHash(), rootOnly).getLeft(),
        equalTo(new AssemblyProblem.Missing(others)));
  }

  @Test
  void malformedObjectIsReported() {
    assertThat(malformedHash("{"), equalTo("some-hash"));
    assertThat(malformedHash("[7, {}]"), equalTo("some-hash"));
    assertThat(malformedHash("{\"services\": [{\"name\": 7}]}"), equalTo("some-hash"));
  }

  private String malformedHash(String content) {
    return assembler.read("some-hash", content).orElseThrow().hash();
  }

  @Test
  void retainKeepsOnlyTheObjectsOfTheManifest() {
    ManifestParts parts = ManifestParts.split(manifest(9, 10, 172));
    ManifestParts other = ManifestParts.split(manifest(8, 10, 172));
    assemble(other.rootHash(), other.objects());
    assemble(parts.rootHash(), parts.objects());
    assertThat(assembler.retain(parts.rootHash()), equalTo(parts.objects().keySet()));
    assertThat(assembler.assemble(other.rootHash()).isLeft(), is(true));
  }

  private Either<AssemblyProblem.Missing, Manifest> assemble(
      String rootHash, Map<String, String> objects) {
    objects.forEach(
        (hash, content) -> assertThat(assembler.read(hash, content).isEmpty(), is(true)));
    return assembler.assemble(rootHash);
  }

  private static Manifest manifest(int slots, long firstOctet, long secondOctet) {
    Endpoint endpoint =
        new Endpoint(
            new EndpointId("desk-01"), ZONE, new HostAndPort("127.0.0.1", 9_001), slots, 700);
    Call call =
        new Call(new CallName("book"), "POST", "/bookings", false, Priority.NON_IDEMPOTENT, 2_000);
    Service service =
        new Service(
            new ServiceName("order-desk"),
            Objective.LATENCY,
            List.of(call),
            List.of(endpoint),
            List.of(new PlaceLimit(REGION, 0.5, 100)));
    return new Manifest(
        "test",
        5_000,
        List.of(new Zone(ZONE, REGION)),
        List.of(),
        List.of(service),
        List.of(
            new CallerBlock(firstOctet << 24, 8, REGION),
            new CallerBlock(secondOctet << 24, 8, REGION)),
        List.of(),
        List.of());
  }
}
