package org.mustardstage.schema;

import com.google.common.base.Ascii;
import java.util.Locale;
import org.mustardstage.core.manifest.Call;
import org.mustardstage.core.manifest.CallerBlock;
import org.mustardstage.core.manifest.Drain;
import org.mustardstage.core.manifest.DrainTarget;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.PlaceLimit;
import org.mustardstage.core.manifest.PlannedMove;
import org.mustardstage.core.manifest.RegionLink;
import org.mustardstage.core.manifest.Service;
import org.mustardstage.core.manifest.Zone;
import org.mustardstage.schema.generated.ManifestCall;
import org.mustardstage.schema.generated.ManifestCallerBlock;
import org.mustardstage.schema.generated.ManifestDrain;
import org.mustardstage.schema.generated.ManifestEndpoint;
import org.mustardstage.schema.generated.ManifestMove;
import org.mustardstage.schema.generated.ManifestPlaceLimit;
import org.mustardstage.schema.generated.ManifestRegionLink;
import org.mustardstage.schema.generated.ManifestService;
import org.mustardstage.schema.generated.ManifestZone;

/** Writes manifests as YAML that {@link ManifestReader} can read. */
public final class ManifestWriter {
  private static final long SCHEMA_VERSION = 1;

  private ManifestWriter() {}

  /** Returns {@code manifest} as YAML. */
  public static String write(Manifest manifest) {
    return YamlDocuments.write(toGenerated(manifest));
  }

  /** Converts {@code manifest} to the class that is generated from its schema. */
  static org.mustardstage.schema.generated.Manifest toGenerated(Manifest manifest) {
    return new org.mustardstage.schema.generated.Manifest()
        .withSchemaVersion(SCHEMA_VERSION)
        .withDeployment(manifest.deployment())
        .withAnswerLifetimeMillis(manifest.lookupTtlMillis())
        .withZones(manifest.zones().stream().map(ManifestWriter::zone).toList())
        .withRegionLinks(manifest.regionLinks().stream().map(ManifestWriter::link).toList())
        .withServices(manifest.services().stream().map(ManifestWriter::service).toList())
        .withCallerBlocks(manifest.callerBlocks().stream().map(ManifestWriter::block).toList())
        .withMoves(manifest.moves().stream().map(ManifestWriter::move).toList())
        .withDrains(manifest.drains().stream().map(ManifestWriter::drain).toList());
  }

  private static ManifestZone zone(Zone zone) {
    return new ManifestZone().withName(zone.id().value()).withRegion(zone.region().value());
  }

  private static ManifestRegionLink link(RegionLink link) {
    return new ManifestRegionLink()
        .withFirst(link.first().value())
        .withSecond(link.second().value())
        .withBitsPerSecond(link.bitsPerSecond());
  }

  private static ManifestService service(Service service) {
    return new ManifestService()
        .withName(service.name().value())
        .withObjective(
            ManifestService.Objective.fromValue(Ascii.toLowerCase(service.objective().name())))
        .withCalls(service.calls().stream().map(ManifestWriter::call).toList())
        .withEndpoints(service.endpoints().stream().map(ManifestWriter::endpoint).toList())
        .withPlaceLimits(service.placeLimits().stream().map(ManifestWriter::limit).toList());
  }

  private static ManifestCall call(Call call) {
    String priority = call.priority().name().toLowerCase(Locale.ROOT).replace('_', '-');
    return new ManifestCall()
        .withName(call.name().value())
        .withMethod(ManifestCall.Method.fromValue(call.method()))
        .withPathPrefix(call.pathPrefix())
        .withIdempotent(call.idempotent())
        .withPriority(ManifestCall.Priority.fromValue(priority))
        .withDeadlineMillis(call.deadlineMillis());
  }

  private static ManifestEndpoint endpoint(Endpoint endpoint) {
    return new ManifestEndpoint()
        .withName(endpoint.id().value())
        .withZone(endpoint.zone().value())
        .withAddress(endpoint.address().toString())
        .withSlots((long) endpoint.slots())
        .withConnections((long) endpoint.connections());
  }

  private static ManifestPlaceLimit limit(PlaceLimit limit) {
    return new ManifestPlaceLimit()
        .withRegion(limit.region().value())
        .withMaxShare(limit.maxShare())
        .withRequestsPerSecond(limit.requestsPerSecond());
  }

  private static ManifestCallerBlock block(CallerBlock block) {
    return new ManifestCallerBlock().withPrefix(block.prefix()).withRegion(block.region().value());
  }

  private static ManifestMove move(PlannedMove move) {
    return new ManifestMove()
        .withName(move.id().value())
        .withService(move.service().value())
        .withFrom(move.from().value())
        .withTo(move.to().value())
        .withCapShare(move.capShare())
        .withSteps((long) move.steps())
        .withStepMillis(move.stepMillis());
  }

  private static ManifestDrain drain(Drain drain) {
    ManifestDrain written = new ManifestDrain().withName(drain.id().value());
    return switch (drain.target()) {
      case DrainTarget.OfEndpoint(var endpoint) -> written.withEndpoint(endpoint.value());
      case DrainTarget.OfZone(var zone) -> written.withZone(zone.value());
      case DrainTarget.OfEntryVm(var vm) -> written.withEntryVm(vm.value());
    };
  }
}
