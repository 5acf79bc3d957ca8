package org.mustardstage.schema;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;

import io.vavr.control.Either;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.DocumentProblem;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.ManifestProblem;

/**
 * Checks that valid manifests are read, and that each kind of error in one is reported with its
 * path and kind, all errors at once, so that no invalid manifest becomes active.
 */
class ManifestReaderTest {
  @Test
  void readsWholeManifest() {
    Manifest manifest = ManifestReader.read(SampleManifest.YAML).get();

    assertThat(manifest.deployment(), equalTo("sample"));
    assertThat(
        manifest.findRegion(new ZoneId("brandon-a")).get(), equalTo(new RegionId("brandon")));
    assertThat(
        manifest.findService(new ServiceName("order-desk")).get().endpoints().get(1).id(),
        equalTo(new EndpointId("desk-2")));
  }

  @Test
  void writtenManifestIsReadBackUnchanged() {
    Manifest manifest = ManifestReader.read(SampleManifest.YAML).get();

    assertThat(ManifestReader.read(ManifestWriter.write(manifest)).get(), equalTo(manifest));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "zone: brandon-a | zone: yorkton-a | UnknownZone",
        "10.2.0.0/16, region: brandon | 10.2.0.0/16, region: yorkton | UnknownRegion",
        "{region: brandon, | {region: yorkton, | UnknownRegion",
        "second: brandon | second: yorkton | UnknownRegion",
        "service: order-desk | service: order-disk | UnknownService",
        "endpoint: desk-1 | endpoint: desk-7 | UnknownEndpoint",
        "endpoint: desk-1 | zone: yorkton-a | UnknownZone",
        "name: regina-b | name: regina-a | DuplicateName",
        "name: desk-2 | name: desk-1 | DuplicateName",
        "name: sample | name: book | DuplicateName",
        "127.1.0.2:8080 | 127.1.0.1:8080 | SharedAddress",
        "10.2.0.0/16 | 10.1.128.0/17 | OverlappingCallerBlocks",
        "10.2.0.0/16 | 10.0.0.0/8 | OverlappingCallerBlocks",
        "endpoint: desk-1 | endpoint: desk-2 | MoveWithoutPlace",
        "{name: desk-1, zone: regina-a | {name: desk-1, zone: brandon-a | ShareWithoutPlace",
        "idempotent: false, priority: non-idempotent | idempotent: false, priority: batch | MismatchedPriority",
        "method: GET, pathPrefix: /samples/ | method: POST, pathPrefix: /bookings/x | ShadowedCall",
        "drains: | drains: [{name: one, zone: regina-a}, {name: two, zone: brandon-a}] # | DrainedService",
        "moves: | moves: [{name: back, service: order-desk, from: brandon, to: regina, capShare: 1, steps: 1, stepMillis: 1}, {name: forth, service: order-desk, from: regina, to: brandon, capShare: 1, steps: 1, stepMillis: 1}] # | ConflictingMoves"
      })
  void rejectsSemanticErrors(String old, String replacement, String problem) {
    String yaml = SampleManifest.with(old, replacement);
    String uncommented = yaml.replaceAll("(?m)( #\\n)( {2}- .*\\n)+", "\n");

    assertThat(kinds(uncommented).contains(problem), equalTo(true));
  }

  @Test
  void rejectsMoveBetweenRegionsWithoutLink() {
    String yaml =
        SampleManifest.with(
            "  - {first: regina, second: brandon, bitsPerSecond: 4000000000}\n", "  []\n");

    assertThat(kinds(yaml), contains("MoveWithoutLink"));
  }

  @Test
  void rejectsSecondLinkBetweenTheSameRegions() {
    String link = "  - {first: regina, second: brandon, bitsPerSecond: 4000000000}\n";
    String yaml = SampleManifest.with(link, link + link.replace("4000", "5000"));

    assertThat(kinds(yaml), contains("DuplicateLink"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "slots: 9, | slots: 0, | /services/order-desk/endpoints/desk-1/slots",
        "slots: 9, | slots: nine, | /services/order-desk/endpoints/desk-1/slots",
        "127.1.0.1:8080 | 127.1.0.1:70000 | /services/order-desk/endpoints/desk-1",
        "127.1.0.1:8080 | 127.1.0.256:80 | /services/order-desk/endpoints/desk-1/address",
        "10.1.0.0/16 | 10.1.0.1/16 | /callerBlocks/0",
        "10.1.0.0/16 | 10.1.0.0/33 | /callerBlocks/0/prefix",
        "first: regina | first: brandon | /regionLinks/0",
        "from: regina | from: brandon | /moves/to-brandon",
        "capShare: 0.25 | capShare: 0 | /moves/to-brandon/capShare",
        "endpoint: desk-1 | endpoint: desk-1, zone: regina-a | /drains/works",
        "objective: latency | objective: cost | /services/order-desk/objective",
        "deployment: sample | deployment: 7 | /deployment"
      })
  void reportsWrongValueWithItsPath(String old, String replacement, String path) {
    List<ManifestProblem> problems = problems(SampleManifest.with(old, replacement));

    assertThat(problems.getFirst(), instanceOf(DocumentProblem.WrongValue.class));
    assertThat(problems.getFirst().path(), equalTo(path));
  }

  @Test
  void rejectsUnknownAndMissingKeys() {
    String yaml = SampleManifest.with("slots: 9,", "slotz: 9,");

    assertThat(
        kinds(yaml), containsInAnyOrder("MissingKey", "UnknownKey", "MissingKey", "UnknownKey"));
  }

  @Test
  void reportsAllProblemsAtOnce() {
    String yaml =
        SampleManifest.with("bitsPerSecond: 4000000000", "bitsPerSecond: -1")
            .replace("service: order-desk", "service: order-disk")
            .replace("10.2.0.0/16, region: brandon", "10.1.0.0/16, region: yorkton")
            .replace("deadlineMillis: 1000", "deadlineMilis: 1000");

    assertThat(
        kinds(yaml),
        containsInAnyOrder(
            "WrongValue",
            "MissingKey",
            "UnknownKey",
            "UnknownService",
            "UnknownRegion",
            "OverlappingCallerBlocks"));
  }

  @Test
  void referencesToInvalidPartsAreNotReported() {
    String yaml = SampleManifest.with("connections: 700", "connections: 0");

    assertThat(kinds(yaml), containsInAnyOrder("WrongValue", "WrongValue"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "[]", "7", "null", "text", "~", "- a", "{}"})
  void rejectsYamlThatIsNoManifest(String yaml) {
    assertThat(problems(yaml).isEmpty(), equalTo(false));
  }

  @ParameterizedTest
  @ValueSource(strings = {"{", "a: [", "a: b: c", "\t", "a: 1\na: 2", "a: 1\n---\nb: 2", "%", "@"})
  void rejectsMalformedYaml(String yaml) {
    assertThat(problems(yaml).getFirst(), instanceOf(DocumentProblem.NotYaml.class));
  }

  @Test
  void rejectsAliasesWithoutExpandingThem() {
    StringBuilder bomb = new StringBuilder("a0: &a0 [x, x, x, x, x, x, x, x, x]\n");
    for (int level = 1; level < 40; level++) {
      String alias = "*a" + (level - 1);
      bomb.append(
          "a%d: &a%d [%s]\n"
              .formatted(level, level, String.join(", ", List.of(alias, alias, alias))));
    }

    assertThat(problems(bomb.toString()), contains(instanceOf(DocumentProblem.AliasRefused.class)));
  }

  @Test
  void rejectsDeepNesting() {
    assertThat(problems("[".repeat(100_000)), contains(instanceOf(DocumentProblem.NotYaml.class)));
  }

  @Test
  void acceptsManifestWithoutOptionalParts() {
    String yaml =
        SampleManifest.YAML
            .substring(0, SampleManifest.YAML.indexOf("moves:"))
            .replaceAll("(?m)^regionLinks:\\n.*\\n", "");

    assertThat(ManifestReader.read(yaml).isRight(), equalTo(true));
  }

  private static List<ManifestProblem> problems(String yaml) {
    Either<List<ManifestProblem>, Manifest> result = ManifestReader.read(yaml);
    return result.isLeft() ? result.getLeft() : List.of();
  }

  private static List<String> kinds(String yaml) {
    List<ManifestProblem> problems = problems(yaml);
    assertThat(problems.stream().filter(p -> p.description().isBlank()).toList(), empty());
    return problems.stream().map(problem -> problem.getClass().getSimpleName()).toList();
  }
}
