package org.mustardstage.schema;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;

/** Takes the parts out of a document that violate its schema, so that the others can be checked. */
final class WellFormedParts {
  private final Set<JsonNode> broken = Collections.newSetFromMap(new IdentityHashMap<>());

  private WellFormedParts() {}

  /**
   * Returns {@code document} without the items of lists, and without the values of the document's
   * own keys, in which one of {@code violations} lies; an empty object if it is not an object.
   */
  static JsonNode of(JsonNode document, List<SchemaViolation> violations) {
    if (violations.isEmpty()) {
      return document;
    }
    WellFormedParts parts = new WellFormedParts();
    violations.forEach(violation -> parts.markBroken(document, violation.location()));
    return document.isObject() ? parts.copy(document) : JsonNodeFactory.instance.objectNode();
  }

  private void markBroken(JsonNode document, List<Object> location) {
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
      broken.add(part);
    }
  }

  private JsonNode copy(JsonNode node) {
    if (node.isObject()) {
      ObjectNode copy = JsonNodeFactory.instance.objectNode();
      node.properties().stream()
          .filter(property -> !broken.contains(property.getValue()))
          .forEach(property -> copy.set(property.getKey(), copy(property.getValue())));
      return copy;
    }
    if (node.isArray()) {
      ArrayNode copy = JsonNodeFactory.instance.arrayNode();
      node.valueStream().filter(item -> !broken.contains(item)).map(this::copy).forEach(copy::add);
      return copy;
    }
    return node;
  }
}
