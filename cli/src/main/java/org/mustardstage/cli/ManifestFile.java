package org.mustardstage.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.ManifestProblem;
import org.mustardstage.schema.ManifestReader;

/**
 * A manifest in a file.
 *
 * @param text the text of the file
 * @param manifest the manifest in the file
 */
record ManifestFile(String text, Manifest manifest) {
  /** Returns the manifest in {@code file}, or prints all its problems and returns nothing. */
  static Optional<ManifestFile> read(String file, Console console) {
    String text;
    try {
      text = Files.readString(Path.of(file));
    } catch (IOException e) {
      console.err().println("can't read " + file + ": " + e);
      return Optional.empty();
    }
    Either<List<ManifestProblem>, Manifest> result = ManifestReader.read(text);
    if (result.isLeft()) {
      result
          .getLeft()
          .forEach(problem -> console.err().println(problem.path() + ": " + problem.description()));
      console.err().println(file + ": " + result.getLeft().size() + " problems");
      return Optional.empty();
    }
    return Optional.of(new ManifestFile(text, result.get()));
  }
}
