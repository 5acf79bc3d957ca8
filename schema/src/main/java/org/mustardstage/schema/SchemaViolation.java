package org.mustardstage.schema;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import com.networknt.schema.JsonNodePath;
import com.networknt.schema.ValidationMessage;
import java.util.List;
import java.util.stream.IntStream;
import org.mustardstage.core.manifest.DocumentProblem;

/**
 * A place where a document differs from its schema.
 *
 * @param location the keys (String) and indices (Integer) that lead to the place
 * @param problem what is wrong there
 */
record SchemaViolation(List<Object> location, DocumentProblem problem) {
  private static final int MAX_FOUND_CHARS = 80;

  SchemaViolation {
    location = ImmutableList.copyOf(location);
  }

  static SchemaViolation of(ValidationMessage message, JsonNode document) {
    List<Object> location = location(message.getInstanceLocation());
    return new SchemaViolation(location, problem(message, readablePath(location, document)));
  }

  /**
   * Returns the path to a location, in which parts of a list go by their names if they have one.
   */
  static String readablePath(List<Object> location, JsonNode document) {
    StringBuilder path = new StringBuilder();
    JsonNode node = document;
    for (Object step : location) {
      node = step instanceof Integer index ? node.path(index) : node.path(step.toString());
      path.append('/').append(label(step, node));
    }
    return path.isEmpty() ? DocumentProblem.ROOT_PATH : path.toString();
  }

  private static String label(Object step, JsonNode node) {
    JsonNode name = node.path("name");
    return step instanceof Integer && name.isTextual()
        ? Ascii.truncate(name.textValue(), MAX_FOUND_CHARS, "...")
        : Ascii.truncate(step.toString(), MAX_FOUND_CHARS, "...");
  }

  private static List<Object> location(JsonNodePath path) {
    return IntStream.range(0, path.getNameCount()).mapToObj(path::getElement).toList();
  }

  private static DocumentProblem problem(ValidationMessage message, String path) {
    return switch (message.getType()) {
      case "required" -> new DocumentProblem.MissingKey(path, message.getProperty());
      case "additionalProperties" ->
          new DocumentProblem.UnknownKey(
              path, Ascii.truncate(message.getProperty(), MAX_FOUND_CHARS, "..."));
      default ->
          new DocumentProblem.WrongValue(path, expected(message), found(message.getInstanceNode()));
    };
  }

  private static String expected(ValidationMessage message) {
    String limit = String.valueOf(message.getSchemaNode());
    return switch (message.getType()) {
      case "type" -> "a value of type " + limit.replace("\"", "");
      case "enum" -> "one of " + limit;
      case "const" -> limit;
      case "minimum" -> "at least " + limit;
      case "maximum" -> "at most " + limit;
      case "exclusiveMinimum" -> "more than " + limit;
      case "maxLength" -> "at most " + limit + " characters";
      case "minItems" -> "at least " + limit + " items";
      case "minProperties", "maxProperties" -> "exactly " + limit + " keys";
      case "pattern" -> "text that matches " + limit;
      default -> "what the rule " + message.getType() + " of the schema asks for";
    };
  }

  private static String found(JsonNode node) {
    return switch (node.getNodeType()) {
      case OBJECT -> "an object with " + node.size() + " keys";
      case ARRAY -> "a list of " + node.size() + " items";
      case MISSING -> "nothing";
      default -> Ascii.truncate(node.toString(), MAX_FOUND_CHARS, "...");
    };
  }
}
