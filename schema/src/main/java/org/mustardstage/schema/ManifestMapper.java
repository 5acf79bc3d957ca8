package org.mustardstage.schema;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import com.google.common.net.InetAddresses;
import com.google.common.primitives.UnsignedInts;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.IntStream;
import org.mustardstage.core.id.CallName;
import org.mustardstage.core.id.DrainId;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.MoveId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.Call;
import org.mustardstage.core.manifest.CallerBlock;
import org.mustardstage.core.manifest.DocumentProblem;
import org.mustardstage.core.manifest.Drain;
import org.mustardstage.core.manifest.DrainTarget;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.Objective;
import org.mustardstage.core.manifest.PlaceLimit;
import org.mustardstage.core.manifest.PlannedMove;
import org.mustardstage.core.manifest.Priority;
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

/**
 * Converts a manifest that conforms to its schema to the records of the core module. A part with a
 * value that the core rejects is left out and reported.
 */
final class ManifestMapper {
  private static final int MAX_FOUND_CHARS = 200;

  private final List<DocumentProblem> problems = new ArrayList<>();

  /** Returns the problems of the parts that were left out. */
  List<DocumentProblem> problems() {
    return ImmutableList.copyOf(problems);
  }

  Manifest map(JsonNode document) {
    return new Manifest(
        document.path("deployment").asText(),
        document.path("answerLifetimeMillis").asLong(),
        mapAll(document, "/zones", ManifestZone.class, this::mapZone),
        mapAll(document, "/regionLinks", ManifestRegionLink.class, this::mapLink),
        mapServices(document),
        mapAll(document, "/callerBlocks", ManifestCallerBlock.class, this::mapBlock),
        mapAll(document, "/moves", ManifestMove.class, this::mapMove),
        mapAll(document, "/drains", ManifestDrain.class, this::mapDrain));
  }

  private Zone mapZone(ManifestZone zone) {
    return new Zone(new ZoneId(zone.getName()), new RegionId(zone.getRegion()));
  }

  private RegionLink mapLink(ManifestRegionLink link) {
    return new RegionLink(
        new RegionId(link.getFirst()), new RegionId(link.getSecond()), link.getBitsPerSecond());
  }

  private List<Service> mapServices(JsonNode document) {
    return IntStream.range(0, document.path("services").size())
        .mapToObj(index -> mapService(document, "/services/" + index))
        .flatMap(Optional::stream)
        .toList();
  }

  private Optional<Service> mapService(JsonNode document, String pointer) {
    List<Call> calls = mapAll(document, pointer + "/calls", ManifestCall.class, this::mapCall);
    List<Endpoint> endpoints =
        mapAll(document, pointer + "/endpoints", ManifestEndpoint.class, this::mapEndpoint);
    List<PlaceLimit> limits =
        mapAll(document, pointer + "/placeLimits", ManifestPlaceLimit.class, this::mapLimit);
    return mapPart(
        document,
        pointer,
        ManifestService.class,
        service ->
            new Service(
                new ServiceName(service.getName()),
                Objective.valueOf(Ascii.toUpperCase(service.getObjective().value())),
                calls,
                endpoints,
                limits));
  }

  private Call mapCall(ManifestCall call) {
    return new Call(
        new CallName(call.getName()),
        call.getMethod().value(),
        call.getPathPrefix(),
        call.getIdempotent(),
        Priority.valueOf(call.getPriority().value().replace('-', '_').toUpperCase(Locale.ROOT)),
        call.getDeadlineMillis());
  }

  private Endpoint mapEndpoint(ManifestEndpoint endpoint) {
    return new Endpoint(
        new EndpointId(endpoint.getName()),
        new ZoneId(endpoint.getZone()),
        HostAndPort.parse(endpoint.getAddress()),
        Math.toIntExact(endpoint.getSlots()),
        Math.toIntExact(endpoint.getConnections()));
  }

  private PlaceLimit mapLimit(ManifestPlaceLimit limit) {
    return new PlaceLimit(
        new RegionId(limit.getRegion()), limit.getMaxShare(), limit.getRequestsPerSecond());
  }

  private CallerBlock mapBlock(ManifestCallerBlock block) {
    int slash = block.getPrefix().indexOf('/');
    int address =
        InetAddresses.coerceToInteger(
            InetAddresses.forString(block.getPrefix().substring(0, slash)));
    int prefixLengthBits = Integer.parseInt(block.getPrefix().substring(slash + 1));
    return new CallerBlock(
        UnsignedInts.toLong(address), prefixLengthBits, new RegionId(block.getRegion()));
  }

  private PlannedMove mapMove(ManifestMove move) {
    return new PlannedMove(
        new MoveId(move.getName()),
        new ServiceName(move.getService()),
        new RegionId(move.getFrom()),
        new RegionId(move.getTo()),
        move.getCapShare(),
        Math.toIntExact(move.getSteps()),
        move.getStepMillis());
  }

  private Drain mapDrain(ManifestDrain drain) {
    return new Drain(new DrainId(drain.getName()), drainTarget(drain));
  }

  private static DrainTarget drainTarget(ManifestDrain drain) {
    if (drain.getEndpoint() != null) {
      return new DrainTarget.OfEndpoint(new EndpointId(drain.getEndpoint()));
    }
    if (drain.getZone() != null) {
      return new DrainTarget.OfZone(new ZoneId(drain.getZone()));
    }
    return new DrainTarget.OfEntryVm(new VmId(drain.getEntryVm()));
  }

  private <G, T> List<T> mapAll(
      JsonNode document, String pointer, Class<G> generated, PartMapping<G, T> mapping) {
    return IntStream.range(0, document.at(pointer).size())
        .mapToObj(index -> mapPart(document, pointer + "/" + index, generated, mapping))
        .flatMap(Optional::stream)
        .toList();
  }

  private <G, T> Optional<T> mapPart(
      JsonNode document, String pointer, Class<G> generated, PartMapping<G, T> mapping) {
    JsonNode part = document.at(pointer);
    try {
      return Optional.of(mapping.apply(YamlDocuments.toObject(part, generated)));
    } catch (JsonProcessingException e) {
      problems.add(problem(document, pointer, e.getOriginalMessage(), part));
    } catch (IllegalArgumentException | ArithmeticException e) {
      problems.add(problem(document, pointer, e.getMessage(), part));
    }
    return Optional.empty();
  }

  private static DocumentProblem problem(
      JsonNode document, String pointer, String rule, JsonNode part) {
    return new DocumentProblem.WrongValue(
        SchemaViolation.readablePath(location(pointer), document),
        rule,
        Ascii.truncate(part.toString(), MAX_FOUND_CHARS, "..."));
  }

  private static List<Object> location(String pointer) {
    return Arrays.stream(pointer.substring(1).split("/"))
        .<Object>map(step -> Character.isDigit(step.charAt(0)) ? Integer.valueOf(step) : step)
        .toList();
  }

  /** Converts one part of a manifest from its generated class to a record of the core. */
  @FunctionalInterface
  private interface PartMapping<G, T> {
    T apply(G generated);
  }
}
