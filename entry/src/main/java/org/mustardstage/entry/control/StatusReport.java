package org.mustardstage.entry.control;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.Service;
import org.mustardstage.core.member.MemberStatus;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.permit.PermitStatus;

/** Reports the state of one entry VM, and its view of the others, as JSON for operators. */
final class StatusReport {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private StatusReport() {}

  static ObjectNode of(ControlThread control) {
    Snapshot snapshot = control.snapshot();
    MemberView view = control.memberView();
    ObjectNode root = MAPPER.createObjectNode();
    root.put("vm", snapshot.self().vm().value());
    root.put("incarnation", snapshot.self().number());
    root.put("zone", snapshot.zone().value());
    root.put("region", snapshot.region().value());
    root.put("version", snapshot.version().number());
    root.put("stopping", snapshot.stopping());
    root.put("platformAnswers", control.platformReachable());
    addNotConfirmed(root.putArray("notConfirmed"), view, snapshot.version());
    view.silentZones().forEach(zone -> root.withArray("silentZones").add(zone.value()));
    addPeers(root.putArray("peers"), view);
    addPermits(root.putObject("permits"), control.permits().status());
    addEndpoints(root.putArray("endpoints"), control);
    ObjectNode waiting = root.putObject("waiting");
    control
        .admissionController()
        .queuedByService()
        .forEach((name, size) -> waiting.put(name.value(), size));
    root.put("requestsInFlight", control.admissionController().requestsInFlight());
    return root;
  }

  private static void addNotConfirmed(ArrayNode array, MemberView view, ConfigVersion version) {
    for (MemberStatus status : view.statuses()) {
      boolean behind = status.configVersion().compareTo(version) < 0;
      boolean unreachable = view.isInSilentZone(status.member()) || !status.isAlive();
      if (!status.provenGone() && (behind || unreachable)) {
        array.add(status.member().vm().value());
      }
    }
  }

  private static void addPeers(ArrayNode array, MemberView view) {
    for (MemberStatus status : view.statuses()) {
      ObjectNode peer = array.addObject();
      peer.put("vm", status.member().vm().value());
      peer.put("incarnation", status.member().incarnation().number());
      peer.put("zone", status.member().zone().value());
      peer.put("region", status.member().region().value());
      peer.put("trafficAddress", status.member().trafficAddress().toString());
      peer.put("adminAddress", status.member().adminAddress().toString());
      peer.put("liveness", status.liveness().name().toLowerCase(Locale.ROOT));
      peer.put("leaving", status.member().leaving());
      peer.put("provenGone", status.provenGone());
      peer.put("version", status.configVersion().number());
    }
  }

  private static void addPermits(ObjectNode node, PermitStatus status) {
    node.put("listRevision", status.listRevision());
    node.put("ownershipConfirmed", status.ownershipConfirmed());
    node.put("partsOwned", status.partsOwned());
    node.put("owned", status.permitsOwned());
    node.put("leasedOut", status.permitsLeasedOut());
    node.put("unusable", status.permitsUnusable());
    node.put("leasedIn", status.permitsLeasedIn());
    node.put("idle", status.permitsIdle());
    node.put("inUse", status.permitsInUse());
    node.put("requestsWaiting", status.requestsWaiting());
  }

  private static void addEndpoints(ArrayNode array, ControlThread control) {
    List<Service> services = control.manifest().map(Manifest::services).orElse(List.of());
    for (Service service : services) {
      for (Endpoint endpoint : service.endpoints()) {
        ObjectNode node = array.addObject();
        node.put("endpoint", endpoint.id().value());
        node.put("service", service.name().value());
        node.put("zone", endpoint.zone().value());
        node.put("slots", endpoint.slots());
        node.put("leaving", control.admissionController().drainPlan().isDraining(endpoint.id()));
      }
    }
  }
}
