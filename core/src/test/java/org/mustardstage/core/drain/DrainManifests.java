package org.mustardstage.core.drain;

import java.util.ArrayList;
import java.util.List;
import org.mustardstage.core.id.CallName;
import org.mustardstage.core.id.DrainId;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.Call;
import org.mustardstage.core.manifest.Drain;
import org.mustardstage.core.manifest.DrainTarget;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.Objective;
import org.mustardstage.core.manifest.PlaceLimit;
import org.mustardstage.core.manifest.Priority;
import org.mustardstage.core.manifest.Service;
import org.mustardstage.core.manifest.Zone;

/**
 * Creates manifests of one service in two regions, with two zones each, two endpoints per zone and
 * four slots per endpoint.
 */
final class DrainManifests {
  static final ServiceName SERVICE = new ServiceName("order-desk");
  private static final int SLOTS = 4;
  private static final Call CALL =
      new Call(new CallName("read"), "GET", "/", true, Priority.INTERACTIVE, 1_000);

  private DrainManifests() {}

  static Manifest manifest(Drain... drains) {
    return manifest(List.of(), drains);
  }

  static Manifest manifest(List<PlaceLimit> limits, Drain... drains) {
    List<Zone> zones = new ArrayList<>();
    List<Endpoint> endpoints = new ArrayList<>();
    for (String name : List.of("east-a", "east-b", "west-a", "west-b")) {
      ZoneId zone = new ZoneId(name);
      zones.add(new Zone(zone, new RegionId(name.substring(0, name.length() - 2))));
      for (int i = 0; i < 2; i++) {
        HostAndPort address = new HostAndPort("127.0.0.1", 1_000 + endpoints.size());
        endpoints.add(new Endpoint(endpoint(name + "-" + i), zone, address, SLOTS, 10));
      }
    }
    Service service = new Service(SERVICE, Objective.LATENCY, List.of(CALL), endpoints, limits);
    return new Manifest(
        "test", 1_000, zones, List.of(), List.of(service), List.of(), List.of(), List.of(drains));
  }

  static EndpointId endpoint(String name) {
    return new EndpointId(name);
  }

  static Drain ofEndpoint(String name) {
    return new Drain(new DrainId("drain-" + name), new DrainTarget.OfEndpoint(endpoint(name)));
  }

  static Drain ofZone(String name) {
    return new Drain(new DrainId("drain-" + name), new DrainTarget.OfZone(new ZoneId(name)));
  }
}
