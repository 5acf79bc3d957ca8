package org.mustardstage.schema;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.mustardstage.core.manifest.DocumentProblem;

/** Reads and validates the settings of a process in YAML. */
public final class SettingsReader {
  private static final ConcurrentMap<Class<?>, SchemaValidator> VALIDATORS =
      new ConcurrentHashMap<>();

  private SettingsReader() {}

  /**
   * Returns the settings in {@code yaml}, with the defaults of the schema for those that are
   * absent, or all problems of the settings.
   *
   * @param type a class that was generated from a schema of this module
   */
  public static <T> Either<List<DocumentProblem>, T> read(String yaml, Class<T> type) {
    return YamlDocuments.parse(yaml)
        .<List<DocumentProblem>>mapLeft(ImmutableList::of)
        .flatMap(document -> readDocument(document, type));
  }

  static <T> Either<List<DocumentProblem>, T> readDocument(JsonNode document, Class<T> type) {
    ImmutableList<SchemaViolation> violations =
        VALIDATORS.computeIfAbsent(type, SchemaValidator::forClass).validate(document);
    if (!violations.isEmpty()) {
      return Either.left(
          violations.stream().map(SchemaViolation::problem).collect(toImmutableList()));
    }
    try {
      return Either.right(YamlDocuments.toObject(document, type));
    } catch (JsonProcessingException e) {
      return Either.left(
          ImmutableList.of(
              new DocumentProblem.WrongValue(
                  DocumentProblem.ROOT_PATH, type.getSimpleName(), e.getOriginalMessage())));
    }
  }
}
