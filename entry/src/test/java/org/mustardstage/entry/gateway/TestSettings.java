package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.mustardstage.core.hedge.HedgeSettings;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.placement.RegionShiftLimit;
import org.mustardstage.core.quota.QuotaSettings;

/** The settings of a VM for tests that open no sockets. */
final class TestSettings {
  static final ZoneId ZONE = new ZoneId("north-a");
  static final RegionId REGION = new RegionId("north");
  static final HostAndPort ADDRESS = new HostAndPort("127.0.0.1", 1);

  private TestSettings() {}

  /** Returns the settings of a VM with the id vm-1. */
  static GatewaySettings ofVm1() {
    return new GatewaySettings(
        new VmId("vm-1"),
        ZONE,
        REGION,
        ImmutableMap.of(ZONE, REGION),
        ADDRESS,
        ADDRESS,
        Optional.empty(),
        ADDRESS,
        ADDRESS,
        ADDRESS,
        ImmutableList.of(),
        1_000,
        1_000,
        0.2,
        100,
        new RegionShiftLimit(0.15, Duration.ofSeconds(2)),
        OptionalLong.empty(),
        420,
        1_024,
        "info",
        QuotaSettings.defaults(),
        HedgeSettings.OFF);
  }
}
