package org.mustardstage.entry.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableSortedSet;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.outcome.BadRequest;
import org.mustardstage.core.outcome.NotRunReason;
import org.mustardstage.core.outcome.UnknownOutcomeCause;
import org.mustardstage.core.overload.RejectionReason;

/** Checks that {@code docs/errors.md} documents exactly the error codes that exist. */
class ErrorsPageTest {
  private static final Path PAGE = Path.of("..", "docs", "errors.md");
  private static final String SECTION = "## ";

  @Test
  void sectionsMatchCodes() throws IOException {
    ImmutableSortedSet<String> sections =
        Files.readAllLines(PAGE).stream()
            .filter(line -> line.startsWith(SECTION))
            .map(line -> line.substring(SECTION.length()))
            .collect(ImmutableSortedSet.toImmutableSortedSet(String::compareTo));

    assertThat(sections, is(ImmutableSortedSet.copyOf(codes().toList())));
  }

  @Test
  void everySectionHasMeaningCauseAndRemedy() throws IOException {
    for (String section : Files.readString(PAGE).split("\n## ", -1)) {
      if (section.startsWith("# ")) {
        continue;
      }
      for (String part : new String[] {"**Means:**", "**Cause:**", "**Remedy:**"}) {
        assertThat(part + " in " + section, section.contains(part), is(true));
      }
    }
  }

  @Test
  void codesAreDistinct() {
    assertThat(codes().distinct().count(), is(codes().count()));
  }

  private static Stream<String> codes() {
    return Stream.of(
            Arrays.stream(RejectionReason.values()).map(RejectionReason::code),
            Arrays.stream(NotRunReason.values()).map(NotRunReason::code),
            Arrays.stream(BadRequest.values()).map(BadRequest::code),
            Arrays.stream(UnknownOutcomeCause.values()).map(UnknownOutcomeCause::code))
        .flatMap(codes -> codes);
  }
}
