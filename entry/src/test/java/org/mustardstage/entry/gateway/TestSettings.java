package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.mustardstage.core.hedge.HedgeSettings;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.placement.RegionShiftLimit;
import org.mustardstage.core.quota.QuotaSettings;

/** Builds the settings of a VM of a test, in the only zone. */
final class TestSettings {
  static final ZoneId ZONE = new ZoneId("north-a");
  static final RegionId REGION = new RegionId("north");
  static final HostAndPort ADDRESS = new HostAndPort("127.0.0.1", 1);

  private final VmId vm;
  private HostAndPort callers = ADDRESS;
  private HostAndPort readiness = ADDRESS;
  private HostAndPort peers = ADDRESS;
  private HostAndPort metrics = ADDRESS;
  private HostAndPort platform = ADDRESS;
  private List<HostAndPort> seedPeers = ImmutableList.of();
  private long lookupLifetimeMillis = 1_000;
  private long stopWithinMillis = 1_000;
  private OptionalLong keyLifetimeMillis = OptionalLong.empty();
  private int maxDescriptors = 1_024;
  private HedgeSettings hedging = HedgeSettings.OFF;

  private TestSettings(VmId vm) {
    this.vm = vm;
  }

  /** Returns settings by which nothing can listen. */
  static TestSettings ofVm(String id) {
    return new TestSettings(new VmId(id));
  }

  /** Sets addresses to listen on; those that aren't given are free ones. */
  TestSettings listenOn(HostAndPort newCallers, HostAndPort newPeers, HostAndPort newMetrics)
      throws IOException {
    callers = newCallers;
    peers = newPeers;
    metrics = newMetrics;
    readiness = TestPorts.freeAddress();
    platform = TestPorts.freeAddress();
    return this;
  }

  TestSettings withSeedPeers(List<HostAndPort> addresses) {
    seedPeers = addresses;
    return this;
  }

  TestSettings withStop(long newLookupLifetimeMillis, long newStopWithinMillis) {
    lookupLifetimeMillis = newLookupLifetimeMillis;
    stopWithinMillis = newStopWithinMillis;
    return this;
  }

  TestSettings withKeyLifetimeMillis(OptionalLong millis) {
    keyLifetimeMillis = millis;
    return this;
  }

  TestSettings withMaxDescriptors(int count) {
    maxDescriptors = count;
    return this;
  }

  TestSettings withHedging(HedgeSettings settings) {
    hedging = settings;
    return this;
  }

  GatewaySettings build() {
    return new GatewaySettings(
        vm,
        ZONE,
        REGION,
        ImmutableMap.of(ZONE, REGION),
        callers,
        readiness,
        Optional.empty(),
        peers,
        metrics,
        platform,
        seedPeers,
        lookupLifetimeMillis,
        stopWithinMillis,
        0.2,
        100,
        new RegionShiftLimit(0.15, Duration.ofSeconds(2)),
        keyLifetimeMillis,
        420,
        maxDescriptors,
        "info",
        QuotaSettings.defaults(),
        hedging);
  }
}
