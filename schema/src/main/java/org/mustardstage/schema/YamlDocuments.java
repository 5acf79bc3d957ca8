package org.mustardstage.schema;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.mustardstage.core.manifest.DocumentProblem;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.error.YAMLException;

/** Parses a YAML document into a tree, and writes generated classes as YAML. */
final class YamlDocuments {
  private static final int MAX_LENGTH_CHARS = 64 * 1024 * 1024;
  private static final int MAX_DEPTH = 100;
  private static final int MAX_REASON_CHARS = 200;
  private static final YAMLMapper MAPPER = newMapper();

  private YamlDocuments() {}

  /** Returns {@code yaml} as a tree, or why it can't be parsed. */
  static Either<DocumentProblem, JsonNode> parse(String yaml) {
    if (yaml.length() > MAX_LENGTH_CHARS) {
      return Either.left(new DocumentProblem.TooLong(yaml.length(), MAX_LENGTH_CHARS));
    }
    try {
      Optional<DocumentProblem> alias = findAlias(yaml);
      return alias.isPresent() ? Either.left(alias.get()) : Either.right(MAPPER.readTree(yaml));
    } catch (JsonProcessingException e) {
      return Either.left(notYaml(e.getLocation(), e.getOriginalMessage()));
    } catch (YAMLException | NumberFormatException e) {
      return Either.left(notYaml(null, e.getMessage()));
    } catch (IOException e) {
      throw new UncheckedIOException("I/O error while parsing a string", e);
    }
  }

  /** Returns {@code value}, an instance of a generated class, as YAML. */
  static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException("can't write a generated class as YAML", e);
    }
  }

  /** Returns {@code node} as an instance of the generated class {@code type}. */
  static <T> T toObject(JsonNode node, Class<T> type) throws JsonProcessingException {
    return MAPPER.treeToValue(node, type);
  }

  private static Optional<DocumentProblem> findAlias(String yaml) throws IOException {
    try (YAMLParser parser = MAPPER.getFactory().createParser(yaml)) {
      while (parser.nextToken() != null) {
        if (parser.isCurrentAlias()) {
          JsonLocation location = parser.currentTokenLocation();
          return Optional.of(
              new DocumentProblem.AliasRefused(location.getLineNr(), location.getColumnNr()));
        }
      }
    }
    return Optional.empty();
  }

  private static DocumentProblem notYaml(JsonLocation location, String message) {
    int line = location == null ? 0 : location.getLineNr();
    int column = location == null ? 0 : location.getColumnNr();
    return new DocumentProblem.NotYaml(line, column, firstLine(message));
  }

  private static String firstLine(String message) {
    String line = message == null ? "" : message.lines().findFirst().orElse("");
    return line.substring(0, Math.min(line.length(), MAX_REASON_CHARS));
  }

  private static YAMLMapper newMapper() {
    LoaderOptions options = new LoaderOptions();
    options.setCodePointLimit(MAX_LENGTH_CHARS);
    YAMLFactory factory =
        YAMLFactory.builder()
            .loaderOptions(options)
            .streamReadConstraints(
                StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_DEPTH)
                    .maxStringLength(MAX_LENGTH_CHARS)
                    .build())
            .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
            .enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
            .enable(YAMLGenerator.Feature.ALWAYS_QUOTE_NUMBERS_AS_STRINGS)
            .build();
    YAMLMapper mapper = new YAMLMapper(factory);
    mapper.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);
    mapper.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    mapper.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    return mapper;
  }
}
