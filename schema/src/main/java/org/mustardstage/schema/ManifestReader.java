package org.mustardstage.schema;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.List;
import org.mustardstage.core.manifest.DeclaredNames;
import org.mustardstage.core.manifest.DocumentProblem;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.ManifestProblem;
import org.mustardstage.core.manifest.check.ManifestChecker;

/** Reads and validates a manifest in YAML. */
public final class ManifestReader {
  private static final SchemaValidator VALIDATOR =
      SchemaValidator.forClass(org.mustardstage.schema.generated.Manifest.class);

  private ManifestReader() {}

  /**
   * Returns the manifest in {@code yaml}, or all its problems: violations of the schema, and
   * semantic errors in the parts that conform to the schema.
   */
  public static Either<List<ManifestProblem>, Manifest> read(String yaml) {
    return YamlDocuments.parse(yaml)
        .<List<ManifestProblem>>mapLeft(ImmutableList::of)
        .flatMap(ManifestReader::readDocument);
  }

  private static Either<List<ManifestProblem>, Manifest> readDocument(JsonNode document) {
    ImmutableList<SchemaViolation> violations = VALIDATOR.validate(document);
    JsonNode validParts = ValidParts.of(document, violations);
    ManifestMapper mapper = new ManifestMapper();
    Manifest manifest = mapper.map(validParts);
    List<DocumentProblem> schemaProblems =
        ImmutableList.<DocumentProblem>builder()
            .addAll(violations.stream().map(SchemaViolation::problem).iterator())
            .addAll(mapper.problems())
            .build();
    return schemaProblems.isEmpty()
        ? checkManifest(manifest)
        : Either.left(
            withPartProblems(schemaProblems, manifest, DeclaredNamesReader.read(document)));
  }

  private static Either<List<ManifestProblem>, Manifest> checkManifest(Manifest manifest) {
    List<ManifestProblem> problems = ManifestChecker.check(manifest);
    return problems.isEmpty() ? Either.right(manifest) : Either.left(problems);
  }

  private static List<ManifestProblem> withPartProblems(
      List<DocumentProblem> schemaProblems, Manifest parts, DeclaredNames declared) {
    return ImmutableList.<ManifestProblem>builder()
        .addAll(schemaProblems)
        .addAll(ManifestChecker.checkParts(parts, declared))
        .build()
        .stream()
        .distinct()
        .collect(toImmutableList());
  }
}
