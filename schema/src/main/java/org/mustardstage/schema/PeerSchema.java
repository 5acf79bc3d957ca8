package org.mustardstage.schema;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Suppliers;
import com.google.common.collect.ImmutableMap;
import com.google.common.io.Resources;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Tells which release of the protocol between VMs introduced a kind of message or a field, as the
 * schema of the messages declares it. The schema is read when it is first asked for, which is only
 * while VMs of an earlier release are there.
 */
public final class PeerSchema {
  private static final String RESOURCE = "PeerMessages.json";
  private static final int FIRST_RELEASE = 1;
  private static final Supplier<PeerSchema> INSTANCE = Suppliers.memoize(PeerSchema::load);

  /** The release of each kind, by the name of its payload class. */
  private final ImmutableMap<String, Integer> kindReleases;

  /** The release of each field, by the name of its class, a slash and its name. */
  private final ImmutableMap<String, Integer> fieldReleases;

  private PeerSchema(JsonNode root) {
    ImmutableMap.Builder<String, Integer> kinds = ImmutableMap.builder();
    for (JsonNode kind : root.path("properties")) {
      String definition = kind.path("$ref").asText().replace("#/$defs/", "");
      kinds.put(root.path("$defs").path(definition).path("javaType").asText(), releaseOf(kind));
    }
    kindReleases = kinds.buildOrThrow();
    ImmutableMap.Builder<String, Integer> fields = ImmutableMap.builder();
    for (JsonNode type : root.path("$defs")) {
      String className = type.path("javaType").asText();
      for (Map.Entry<String, JsonNode> field : type.path("properties").properties()) {
        fields.put(className + "/" + field.getKey(), releaseOf(field.getValue()));
      }
    }
    fieldReleases = fields.buildOrThrow();
  }

  private static int releaseOf(JsonNode declaration) {
    return declaration.path("since").asInt(FIRST_RELEASE);
  }

  private static PeerSchema load() {
    try {
      byte[] json = Resources.toByteArray(Resources.getResource(PeerSchema.class, RESOURCE));
      return new PeerSchema(
          JsonMessages.readTree(json)
              .getOrElseThrow(
                  problem -> new IllegalStateException(RESOURCE + " is not JSON: " + problem)));
    } catch (IOException e) {
      throw new UncheckedIOException("can't read " + RESOURCE, e);
    }
  }

  /** Returns the schema of this release. */
  public static PeerSchema get() {
    return INSTANCE.get();
  }

  /** Returns the release that introduced the kind of message with payload {@code payloadClass}. */
  public int releaseOfKind(Class<?> payloadClass) {
    Integer release = kindReleases.get(payloadClass.getName());
    if (release == null) {
      throw new IllegalArgumentException(payloadClass + " is not a payload in " + RESOURCE);
    }
    return release;
  }

  /** Returns the release that introduced a field of a generated class. */
  public int releaseOfField(Class<?> type, String field) {
    Integer release = fieldReleases.get(type.getName() + "/" + field);
    if (release == null) {
      throw new IllegalArgumentException(
          "field " + field + " of " + type + " is not declared in " + RESOURCE);
    }
    return release;
  }
}
