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

/** Reads a manifest from YAML. */
public final class ManifestReader {
  private static final SchemaValidator VALIDATOR =
      SchemaValidator.forClass(org.mustardstage.schema.generated.Manifest.class);

  private ManifestReader() {}

  /**
   * Returns the manifest that {@code yaml} holds, or all that is wrong with it: where its shape is
   * wrong, and what its other parts mean wrongly.
   */
  public static Either<List<ManifestProblem>, Manifest> read(String yaml) {
    return YamlDocuments.parse(yaml)
        .<List<ManifestProblem>>mapLeft(ImmutableList::of)
        .flatMap(ManifestReader::readDocument);
  }

  private static Either<List<ManifestProblem>, Manifest> readDocument(JsonNode document) {
    ImmutableList<SchemaViolation> violations = VALIDATOR.validate(document);
    JsonNode wellFormed = ValidParts.of(document, violations);
    ManifestMapper mapper = new ManifestMapper();
    Manifest manifest = mapper.map(wellFormed);
    List<DocumentProblem> shapeProblems =
        ImmutableList.<DocumentProblem>builder()
            .addAll(violations.stream().map(SchemaViolation::problem).iterator())
            .addAll(mapper.problems())
            .build();
    return shapeProblems.isEmpty()
        ? checkManifest(manifest)
        : Either.left(
            withPartProblems(shapeProblems, manifest, DeclaredNamesReader.read(document)));
  }

  private static Either<List<ManifestProblem>, Manifest> checkManifest(Manifest manifest) {
    List<ManifestProblem> problems = ManifestChecker.check(manifest);
    return problems.isEmpty() ? Either.right(manifest) : Either.left(problems);
  }

  private static List<ManifestProblem> withPartProblems(
      List<DocumentProblem> shapeProblems, Manifest parts, DeclaredNames declared) {
    return ImmutableList.<ManifestProblem>builder()
        .addAll(shapeProblems)
        .addAll(ManifestChecker.checkParts(parts, declared))
        .build()
        .stream()
        .distinct()
        .collect(toImmutableList());
  }
}
