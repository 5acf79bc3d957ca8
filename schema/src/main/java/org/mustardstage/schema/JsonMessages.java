package org.mustardstage.schema;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import org.mustardstage.core.manifest.DocumentProblem;

/** Reads and writes messages as JSON. */
public final class JsonMessages {
  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private JsonMessages() {}

  /**
   * Returns the message in {@code json}, or all its problems.
   *
   * @param type a class that was generated from a schema of this module
   */
  public static <T> Either<List<DocumentProblem>, T> read(byte[] json, Class<T> type) {
    return readTree(json)
        .<List<DocumentProblem>>mapLeft(ImmutableList::of)
        .flatMap(document -> SettingsReader.readDocument(document, type));
  }

  /**
   * Returns {@code json} as a tree, without a check against a schema, or why it can't be parsed.
   */
  public static Either<DocumentProblem, JsonNode> readTree(byte[] json) {
    try {
      return Either.right(MAPPER.readTree(json));
    } catch (JsonProcessingException e) {
      return Either.left(
          new DocumentProblem.NotYaml(
              e.getLocation() == null ? 0 : e.getLocation().getLineNr(),
              e.getLocation() == null ? 0 : e.getLocation().getColumnNr(),
              Strings.nullToEmpty(e.getOriginalMessage())));
    } catch (IOException e) {
      return Either.left(new DocumentProblem.NotYaml(0, 0, Strings.nullToEmpty(e.getMessage())));
    }
  }

  /** Returns {@code message}, an instance of a generated class or a tree, as JSON. */
  public static byte[] write(Object message) {
    try {
      return MAPPER.writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException("can't write a message as JSON", e);
    }
  }
}
