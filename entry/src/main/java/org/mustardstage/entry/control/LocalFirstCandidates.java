package org.mustardstage.entry.control;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.Service;

/** Prefers endpoints of the own zone, then of the own region, and takes turns among equals. */
final class LocalFirstCandidates implements ServiceCandidates {
  private final ZoneId zone;
  private final RegionId region;
  private List<Endpoint> endpoints = ImmutableList.of();
  private Manifest manifest;
  private Predicate<EndpointId> isLeaving = endpoint -> false;
  private int turn;

  LocalFirstCandidates(ZoneId zone, RegionId region) {
    this.zone = zone;
    this.region = region;
  }

  @Override
  public void onService(long nowNanos, Manifest newManifest, Service service) {
    manifest = newManifest;
    endpoints = service.endpoints();
  }

  @Override
  public void onLeaving(long nowNanos, Predicate<EndpointId> newIsLeaving) {
    isLeaving = newIsLeaving;
  }

  @Override
  public List<Endpoint> find(long nowNanos, AdmissionRequest request) {
    List<Endpoint> usable = new ArrayList<>(endpoints);
    usable.removeIf(e -> isLeaving.test(e.id()) || request.avoid().contains(e.id()));
    if (!usable.isEmpty()) {
      Collections.rotate(usable, turn++ % usable.size());
    }
    usable.sort(Comparator.comparingInt(this::distance));
    return usable;
  }

  private int distance(Endpoint endpoint) {
    if (endpoint.zone().equals(zone)) {
      return 0;
    }
    return manifest.findRegion(endpoint.zone()).filter(region::equals).isPresent() ? 1 : 2;
  }

  @Override
  public void onSent(EndpointId endpoint) {}

  @Override
  public void onEnd(long nowNanos, EndpointId endpoint, UseEnd end) {}
}
