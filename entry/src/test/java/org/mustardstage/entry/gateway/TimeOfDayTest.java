package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;

import com.google.common.io.MoreFiles;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/**
 * Guards against decisions that depend on the time of day, which may jump. It may be read only for
 * the first guess of an incarnation number, which other VMs correct, and for the audit trail of
 * deployments by manifest.
 */
class TimeOfDayTest {
  private static final Pattern TIME_OF_DAY =
      Pattern.compile(
          "currentTimeMillis|(Instant|LocalDateTime|ZonedDateTime|OffsetDateTime)\\.now"
              + "|Clock\\.system|new (java\\.util\\.)?Date\\(\\)");

  @Test
  void onlyKnownPlacesReadTheTimeOfDay() throws IOException {
    Path root = Path.of("..").toAbsolutePath().normalize();
    List<String> readers = new ArrayList<>();
    for (String module : List.of("core", "entry", "platform")) {
      Path sources = root.resolve(module).resolve("src/main/java");
      for (Path file : MoreFiles.fileTraverser().depthFirstPreOrder(sources)) {
        if (file.toString().endsWith(".java")
            && TIME_OF_DAY.matcher(Files.readString(file)).find()) {
          readers.add(file.getFileName().toString());
        }
      }
    }

    assertThat(
        readers, containsInAnyOrder("GatewayRunner.java", "EntryMain.java", "ControlThread.java"));
  }
}
