package org.mustardstage.schema;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Try;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.DeclaredNames;

/** Collects the names that a manifest declares, also if the manifest violates its schema. */
final class DeclaredNamesReader {
  private DeclaredNamesReader() {}

  static DeclaredNames read(JsonNode document) {
    return new DeclaredNames(
        names(document.path("zones").valueStream(), "name", ZoneId::new),
        names(document.path("zones").valueStream(), "region", RegionId::new),
        names(document.path("services").valueStream(), "name", ServiceName::new),
        names(
            document
                .path("services")
                .valueStream()
                .flatMap(service -> service.path("endpoints").valueStream()),
            "name",
            EndpointId::new));
  }

  private static <T> Set<T> names(
      Stream<JsonNode> parts, String key, Function<String, T> constructor) {
    return parts
        .map(part -> part.path(key))
        .filter(JsonNode::isTextual)
        .flatMap(name -> Try.of(() -> constructor.apply(name.textValue())).toJavaStream())
        .collect(toImmutableSet());
  }
}
