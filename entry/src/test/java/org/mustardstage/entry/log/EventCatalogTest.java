package org.mustardstage.entry.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import com.google.common.base.Ascii;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against an event catalog in the documentation that differs from the code, and against two
 * events with the same number.
 */
class EventCatalogTest {
  private static final Path CATALOG = Path.of("..", "docs", "events.md");

  @Test
  void catalogListsExactlyTheEventsOfTheCode() throws IOException {
    List<String> listed =
        Files.readAllLines(CATALOG).stream()
            .filter(line -> line.startsWith("| MS"))
            .map(line -> line.substring(0, endOfThirdColumn(line)))
            .toList();
    List<String> inCode =
        Arrays.stream(Event.values()).map(EventCatalogTest::firstColumns).toList();
    assertThat(listed, equalTo(inCode));
  }

  @Test
  void numbersAreDistinct() {
    long distinct = Arrays.stream(Event.values()).map(Event::number).distinct().count();
    assertThat(distinct, equalTo((long) Event.values().length));
  }

  private static String firstColumns(Event event) {
    return "| "
        + event.code()
        + " | "
        + event.name()
        + " | "
        + Ascii.toLowerCase(event.level().name())
        + " |";
  }

  private static int endOfThirdColumn(String line) {
    int end = 0;
    for (int column = 0; column < 3; column++) {
      end = line.indexOf('|', end + 1);
    }
    return end + 1;
  }
}
