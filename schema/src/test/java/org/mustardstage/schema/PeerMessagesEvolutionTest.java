package org.mustardstage.schema;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.io.Resources;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Fails when a kind or field of the messages between VMs is removed, moved or changes its type. The
 * files {@code peer-layout-release-N.txt} hold what each release sends, as its own schema said it.
 */
class PeerMessagesEvolutionTest {
  private static final String REFERENCE_PREFIX = "#/$defs/";

  private final JsonNode schema = readSchema();

  private static JsonNode readSchema() {
    try {
      return JsonMessages.readTree(
              Resources.toByteArray(Resources.getResource(PeerSchema.class, "PeerMessages.json")))
          .get();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String typeOf(JsonNode field) {
    if (field.has("$ref")) {
      return field.path("$ref").asText().substring(REFERENCE_PREFIX.length());
    }
    String type = field.path("type").asText();
    return type.equals("array") ? "array of " + typeOf(field.path("items")) : type;
  }

  private static int releaseOf(JsonNode declaration) {
    return declaration.path("since").asInt(1);
  }

  /** Returns the names, with types if {@code typed}, of what a release knows of {@code node}. */
  private static String layoutOf(JsonNode node, int release, boolean typed) {
    List<String> names = new ArrayList<>();
    for (Map.Entry<String, JsonNode> entry : node.path("properties").properties()) {
      if (releaseOf(entry.getValue()) <= release) {
        names.add(entry.getKey() + (typed ? " " + typeOf(entry.getValue()) : ""));
      }
    }
    return String.join(", ", names);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void releaseSendsWhatItAlwaysDid(int release) throws IOException {
    ImmutableList<String> recorded =
        ImmutableList.copyOf(
            Resources.readLines(
                Resources.getResource(
                    PeerMessagesEvolutionTest.class, "peer-layout-release-" + release + ".txt"),
                StandardCharsets.US_ASCII));
    List<String> present = new ArrayList<>();
    present.add("kinds: " + layoutOf(schema, release, /* typed= */ false));
    Map<String, JsonNode> types = new TreeMap<>();
    schema.path("$defs").properties().forEach(type -> types.put(type.getKey(), type.getValue()));
    types.forEach(
        (name, type) -> {
          String layout = layoutOf(type, release, /* typed= */ true);
          if (!layout.isEmpty()) {
            present.add(name + ": " + layout);
          }
        });
    assertThat(present, equalTo(recorded));
  }

  @Test
  void laterFieldsAreOptionalAndBehindEarlierOnes() {
    for (JsonNode type : schema.path("$defs")) {
      int release = 1;
      for (Map.Entry<String, JsonNode> field : type.path("properties").properties()) {
        assertThat(field.getKey(), releaseOf(field.getValue()), greaterThanOrEqualTo(release));
        release = releaseOf(field.getValue());
      }
      for (JsonNode required : type.path("required")) {
        JsonNode field = type.path("properties").path(required.asText());
        assertThat(required.asText(), releaseOf(field), is(releaseOfType(type)));
      }
    }
  }

  /** Returns the release of the first field, in which the type itself was introduced. */
  private static int releaseOfType(JsonNode type) {
    return releaseOf(type.path("properties").iterator().next());
  }

  @Test
  void kindsAreAddedBehindEarlierOnes() {
    List<Integer> releases = new ArrayList<>();
    schema.path("properties").forEach(kind -> releases.add(releaseOf(kind)));
    assertThat(releases, equalTo(releases.stream().sorted().toList()));
  }
}
