package org.mustardstage.entry.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.util.List;

/** Applies command-line overrides to a settings document. */
public final class SettingsOverrides {
  private static final YAMLMapper MAPPER = new YAMLMapper();

  private SettingsOverrides() {}

  /**
   * Returns {@code yaml} with each of {@code overrides} applied. An override has the form {@code
   * name=value}; the value is parsed as YAML. Returns a document that can't be parsed unchanged, so
   * that the settings reader reports all of its problems.
   *
   * @throws IllegalArgumentException if an override does not have the form {@code name=value}
   */
  public static String apply(String yaml, List<String> overrides) {
    if (overrides.isEmpty()) {
      return yaml;
    }
    try {
      if (!(MAPPER.readTree(yaml) instanceof ObjectNode root)) {
        return yaml;
      }
      for (String override : overrides) {
        put(root, override);
      }
      return MAPPER.writeValueAsString(root);
    } catch (JsonProcessingException e) {
      return yaml;
    }
  }

  private static void put(ObjectNode root, String override) throws JsonProcessingException {
    int equals = override.indexOf('=');
    if (equals <= 0) {
      throw new IllegalArgumentException(
          "expected a settings override as name=value, got " + override);
    }
    JsonNode value = MAPPER.readTree(override.substring(equals + 1));
    root.set(override.substring(0, equals), value);
  }
}
