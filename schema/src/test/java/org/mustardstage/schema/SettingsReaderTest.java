package org.mustardstage.schema;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.manifest.DocumentProblem;
import org.mustardstage.schema.generated.EntrySettings;

/** Checks the defaults of settings, and that all problems in them are reported. */
class SettingsReaderTest {
  private static final String YAML =
      """
      vm: vm-1
      zone: regina-a
      region: regina
      address: 127.0.1.1
      trafficPort: 7000
      peerPort: 7001
      adminPort: 7002
      platformAddress: 127.0.0.1:7100
      """;

  @Test
  void fillsInDefaults() {
    EntrySettings settings = SettingsReader.read(YAML, EntrySettings.class).get();

    assertThat(settings.getVm(), equalTo("vm-1"));
    assertThat(settings.getTrafficThreads(), equalTo(1L));
    assertThat(settings.getLogFormat(), equalTo(EntrySettings.LogFormat.TEXT));
  }

  @Test
  void rejectsUnknownKey() {
    assertThat(
        problems(YAML + "trafficThread: 2\n"),
        contains(new DocumentProblem.UnknownKey("/", "trafficThread")));
  }

  @Test
  void reportsAllProblemsAtOnce() {
    String yaml = YAML.replace("7000", "70000").replace("zone: regina-a\n", "");

    assertThat(
        problems(yaml),
        containsInAnyOrder(
            new DocumentProblem.MissingKey("/", "zone"),
            new DocumentProblem.WrongValue("/trafficPort", "at most 65535", "70000")));
  }

  private static List<DocumentProblem> problems(String yaml) {
    return SettingsReader.read(yaml, EntrySettings.class).getLeft();
  }
}
