package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.DocumentProblem;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.placement.RegionShiftLimit;
import org.mustardstage.core.quota.QuotaSettings;

class GatewaySettingsReaderTest {
  private static final String SETTINGS =
      """
      vm: edge-1
      zone: north-a
      region: north
      regions: {north-a: north, south-a: south}
      callerAddress: 10.0.0.1:8144
      readinessAddress: 10.0.0.1:8140
      lookupAddress: ""
      peerAddress: 10.0.0.1:7660
      metricsAddress: 10.0.0.1:7661
      platformAddress: 10.9.0.1:8142
      seedHosts: ["10.0.0.1:8146", "10.0.0.2:8146"]
      stopWithinSeconds: 6.5
      repeatShare: 0.2
      repeatReserve: 120
      """;

  @Test
  void yamlIsRead() {
    GatewaySettings settings = GatewaySettingsReader.read(SETTINGS).get();

    assertThat(settings.regions().get(new ZoneId("south-a")), is(new RegionId("south")));
    assertThat(settings.lookupAddress(), is(Optional.empty()));
    assertThat(settings.seedPeers(), contains(new HostAndPort("10.0.0.2", 7660)));
    assertThat(settings.stopWithinMillis(), is(6_500L));
    assertThat(settings.logLevel(), is("info"));
    assertThat(settings.regionShiftLimit(), is(new RegionShiftLimit(0.15, Duration.ofSeconds(2))));
  }

  @Test
  void milliCoresAreTheCpuShareOfTheCores() {
    GatewaySettings settings =
        GatewaySettingsReader.read(SETTINGS + "cores: 2\ncpuShare: 0.75\n").get();

    assertThat(settings.milliCores(), is(1_500));
    assertThat(GatewaySettingsReader.read(SETTINGS + "cpuShare: 0\n").isLeft(), is(true));
  }

  @Test
  void regionShiftLimitIsReadAndChecked() {
    GatewaySettings settings =
        GatewaySettingsReader.read(SETTINGS + "movedShare: 0.1\nmovedWithinMillis: 3000\n").get();

    assertThat(settings.regionShiftLimit(), is(new RegionShiftLimit(0.1, Duration.ofSeconds(3))));
    assertThat(GatewaySettingsReader.read(SETTINGS + "movedShare: 2\n").isLeft(), is(true));
  }

  @Test
  void quotaBoundsAreReadAndChecked() {
    GatewaySettings settings =
        GatewaySettingsReader.read(
                SETTINGS + "quotaWindowSeconds: 2.5\nquotaExcessShare: 0.2\nquotaReserve: 7\n")
            .get();

    assertThat(settings.quotas(), is(new QuotaSettings(2_500_000_000L, 0.2, 7)));
    assertThat(GatewaySettingsReader.read(SETTINGS).get().quotas(), is(QuotaSettings.defaults()));
    assertThat(GatewaySettingsReader.read(SETTINGS + "quotaReserve: -1\n").isLeft(), is(true));
  }

  @Test
  void keyLifetimeIsReadAndChecked() {
    assertThat(
        GatewaySettingsReader.read(SETTINGS).get().keyLifetimeMillis(), is(OptionalLong.empty()));
    assertThat(
        GatewaySettingsReader.read(SETTINGS + "keyLifetimeSeconds: 5\n").get().keyLifetimeMillis(),
        is(OptionalLong.of(5_000)));
    for (String malformed : List.of("0", "-1", "true", "\"5\"", "null")) {
      String text = SETTINGS + "keyLifetimeSeconds: " + malformed + "\n";
      assertThat(malformed, GatewaySettingsReader.read(text).isLeft(), is(true));
    }
  }

  @Test
  void allProblemsAreReported() {
    Either<List<DocumentProblem>, GatewaySettings> read =
        GatewaySettingsReader.read(
            SETTINGS
                .replace("zone: north-a\n", "zone: North A\n")
                .replace("repeatShare: 0.2\n", "repeatShare: much\n"));

    List<String> paths = read.getLeft().stream().map(DocumentProblem::path).toList();
    assertThat(paths, hasItem("/zone"));
    assertThat(paths, hasItem("/repeatShare"));
  }

  @Test
  void malformedTextIsRejected() {
    assertThat(GatewaySettingsReader.read("{\"vm\": ").isLeft(), is(true));
  }
}
