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
 * A violation of a schema at one location in a document.
 *
 * @param location the path to the location, of keys (String) and list indices (Integer)
 * @param problem the problem at the location
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
   * Returns the path to a location as text, with list items given by their {@code name} if they
   * have one, else by their index.
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
    String constraint = String.valueOf(message.getSchemaNode());
    return switch (message.getType()) {
      case "type" -> "a value of type " + constraint.replace("\"", "");
      case "enum" -> "one of " + constraint;
      case "const" -> constraint;
      case "minimum" -> "at least " + constraint;
      case "maximum" -> "at most " + constraint;
      case "exclusiveMinimum" -> "more than " + constraint;
      case "maxLength" -> "at most " + constraint + " characters";
      case "minItems" -> "at least " + constraint + " items";
      case "minProperties", "maxProperties" -> "exactly " + constraint + " keys";
      case "pattern" -> "text that matches " + constraint;
      default -> "a value that satisfies the keyword " + message.getType() + " of the schema";
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
