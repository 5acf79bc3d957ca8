package org.mustardstage.schema;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;

/**
 * Removes the parts of a document that violate its schema, so that the remaining parts can still be
 * checked.
 */
final class ValidParts {
  private final Set<JsonNode> invalid = Collections.newSetFromMap(new IdentityHashMap<>());

  private ValidParts() {}

  /**
   * Returns {@code document} without the parts in which one of {@code violations} lies. A part is
   * the innermost list item around a violation, or else the value of a top-level key. Returns an
   * empty object if {@code document} is not an object.
   */
  static JsonNode of(JsonNode document, List<SchemaViolation> violations) {
    if (violations.isEmpty()) {
      return document;
    }
    ValidParts parts = new ValidParts();
    violations.forEach(violation -> parts.markInvalid(document, violation.location()));
    return document.isObject() ? parts.copy(document) : JsonNodeFactory.instance.objectNode();
  }

  private void markInvalid(JsonNode document, List<Object> location) {
    JsonNode node = document;
    JsonNode part = null;
    for (int depth = 0; depth < location.size(); depth++) {
      Object step = location.get(depth);
      node = step instanceof Integer index ? node.path(index) : node.path(step.toString());
      if (depth == 0 || step instanceof Integer) {
        part = node;
      }
    }
    if (part != null) {
      invalid.add(part);
    }
  }

  private JsonNode copy(JsonNode node) {
    if (node.isObject()) {
      ObjectNode copy = JsonNodeFactory.instance.objectNode();
      node.properties().stream()
          .filter(property -> !invalid.contains(property.getValue()))
          .forEach(property -> copy.set(property.getKey(), copy(property.getValue())));
      return copy;
    }
    if (node.isArray()) {
      ArrayNode copy = JsonNodeFactory.instance.arrayNode();
      node.valueStream().filter(item -> !invalid.contains(item)).map(this::copy).forEach(copy::add);
      return copy;
    }
    return node;
  }
}
