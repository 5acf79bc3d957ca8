package org.mustardstage.schema;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.emptyString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.ManifestProblem;
import org.mustardstage.schema.generated.EntrySettings;

/**
 * Guards against readers that throw on malformed input instead of returning a described problem, by
 * reading mutated manifests and random YAML fragments.
 */
class ReaderFuzzTest {
  private static final List<String> FRAGMENTS =
      List.of(
          "",
          " ",
          "\n",
          "\t",
          "\0",
          "{",
          "}",
          "[",
          "]",
          ":",
          "- ",
          "#",
          "&a ",
          "*a",
          "!!int ",
          "!x ",
          "|",
          ">",
          "'",
          "\"",
          "%",
          "@",
          "~",
          "null",
          "true",
          ".nan",
          ".inf",
          "-1",
          "0",
          "1e400",
          "1e3",
          "0x7f",
          "0777",
          "99999999999999999999999",
          "1.5",
          "2024-01-01",
          "\uD800",
          "\uFEFF",
          "<<: *a",
          "---\n",
          "...\n",
          "? ",
          "=",
          "1_000",
          "190:20:30",
          "é");

  @Property(tries = 3000, seed = "20261203")
  void readersReturnTypedResultForMutatedManifests(@ForAll("mutatedManifests") String yaml) {
    ManifestReader.read(yaml)
        .peek(manifest -> assertThat(isReadBackUnchanged(manifest), equalTo(true)))
        .peekLeft(ReaderFuzzTest::assertDescribed);
    SettingsReader.read(yaml, EntrySettings.class);
  }

  @Property(tries = 1000, seed = "20261204")
  void readersReturnTypedResultForArbitraryText(@ForAll("fragments") String yaml) {
    ManifestReader.read(yaml);
    SettingsReader.read(yaml, EntrySettings.class);
  }

  @Provide
  Arbitrary<String> mutatedManifests() {
    int length = SampleManifest.YAML.length();
    Arbitrary<Edit> edits =
        Combinators.combine(
                Arbitraries.integers().between(0, length),
                Arbitraries.integers().between(0, 12),
                Arbitraries.of(FRAGMENTS))
            .as(Edit::new);
    return edits.list().ofMinSize(1).ofMaxSize(4).map(ReaderFuzzTest::applyAll);
  }

  @Provide
  Arbitrary<String> fragments() {
    return Arbitraries.of(FRAGMENTS).list().ofMaxSize(30).map(parts -> String.join("", parts));
  }

  private static void assertDescribed(List<ManifestProblem> problems) {
    assertThat(problems, not(empty()));
    problems.forEach(problem -> assertThat(problem.description(), not(emptyString())));
  }

  private static boolean isReadBackUnchanged(Manifest manifest) {
    return ManifestReader.read(ManifestWriter.write(manifest)).contains(manifest);
  }

  private static String applyAll(List<Edit> edits) {
    String text = SampleManifest.YAML;
    for (Edit edit : edits) {
      text = edit.apply(text);
    }
    return text;
  }

  private record Edit(int offset, int deletedChars, String inserted) {
    String apply(String text) {
      int start = Math.min(offset, text.length());
      int end = Math.min(start + deletedChars, text.length());
      return text.substring(0, start) + inserted + text.substring(end);
    }
  }
}
