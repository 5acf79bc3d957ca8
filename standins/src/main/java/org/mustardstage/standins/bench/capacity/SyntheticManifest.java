package org.mustardstage.standins.bench.capacity;

import java.util.ArrayList;
import java.util.List;
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
import org.mustardstage.core.manifest.Priority;
import org.mustardstage.core.manifest.RegionLink;
import org.mustardstage.core.manifest.Service;
import org.mustardstage.core.manifest.Zone;

/** Creates synthetic manifests of a given size. */
final class SyntheticManifest {
  private static final int ENDPOINTS_PER_SITE = 8;
  private static final int SERVICES = 20;
  private static final int SLOTS_PER_ENDPOINT = 9;
  private static final int MAX_CONNECTIONS_PER_ENDPOINT = 700;
  private static final long LINK_BITS_PER_SECOND = 4_000_000_000L;
  private static final int FIRST_PORT = 1_000;

  private SyntheticManifest() {}

  /**
   * Returns a manifest; equal arguments give equal manifests.
   *
   * @param blocks the number of caller blocks
   * @param sites the number of sites; a site has several endpoints of one service in one zone
   * @param regions the number of regions
   * @param zones the number of zones
   * @param firstEndpointSlots the slots of the first endpoint; another value gives a manifest that
   *     differs in one endpoint only
   */
  static Manifest create(int blocks, int sites, int regions, int zones, int firstEndpointSlots) {
    return new Manifest(
        "full-size",
        5_000,
        zones(regions, zones),
        links(regions),
        services(sites, zones, regions, firstEndpointSlots),
        blocks(blocks, regions),
        List.of(),
        List.of());
  }

  private static RegionId region(int number) {
    return new RegionId("region-" + number);
  }

  private static ZoneId zone(int number, int regions) {
    return new ZoneId("region-" + number % regions + "-z" + number);
  }

  private static List<Zone> zones(int regions, int zones) {
    List<Zone> list = new ArrayList<>();
    for (int i = 0; i < zones; i++) {
      list.add(new Zone(zone(i, regions), region(i % regions)));
    }
    return list;
  }

  private static List<RegionLink> links(int regions) {
    List<RegionLink> list = new ArrayList<>();
    for (int i = 0; i < regions; i++) {
      for (int j = i + 1; j < regions; j++) {
        list.add(new RegionLink(region(i), region(j), LINK_BITS_PER_SECOND));
      }
    }
    return list;
  }

  private static List<Service> services(int sites, int zones, int regions, int firstEndpointSlots) {
    List<Service> list = new ArrayList<>();
    for (int s = 0; s < SERVICES; s++) {
      List<Endpoint> endpoints = new ArrayList<>();
      for (int site = s; site < sites; site += SERVICES) {
        addEndpoints(endpoints, site, zone(site % zones, regions), firstEndpointSlots);
      }
      list.add(
          new Service(
              new ServiceName("service-" + s), Objective.LATENCY, calls(), endpoints, List.of()));
    }
    return list;
  }

  private static void addEndpoints(
      List<Endpoint> endpoints, int site, ZoneId zone, int firstEndpointSlots) {
    for (int e = 0; e < ENDPOINTS_PER_SITE; e++) {
      String host = "10.2." + site / 250 + "." + (1 + site % 250);
      endpoints.add(
          new Endpoint(
              new EndpointId("site-" + site + "-" + e),
              zone,
              new HostAndPort(host, FIRST_PORT + e),
              site == 0 && e == 0 ? firstEndpointSlots : SLOTS_PER_ENDPOINT,
              MAX_CONNECTIONS_PER_ENDPOINT));
    }
  }

  private static List<Call> calls() {
    return List.of(
        new Call(new CallName("read"), "GET", "/", true, Priority.INTERACTIVE, 1_000),
        new Call(new CallName("write"), "POST", "/", false, Priority.NON_IDEMPOTENT, 3_000));
  }

  private static List<CallerBlock> blocks(int count, int regions) {
    List<CallerBlock> list = new ArrayList<>();
    long step = (1L << 32) / Integer.highestOneBit(count * 2 - 1);
    int prefixLengthBits = 32 - Long.numberOfTrailingZeros(step);
    for (int i = 0; i < count; i++) {
      list.add(new CallerBlock(i * step, prefixLengthBits, region(i * 7 % regions)));
    }
    return list;
  }
}
