package org.mustardstage.standins.http;

import static java.util.stream.Collectors.joining;

import java.util.List;
import org.mustardstage.core.manifest.ManifestProblem;

/** Thrown when a file that a stand-in needs can't be used. */
public final class InvalidInputException extends Exception {
  /** Makes an exception that says what is wrong. */
  public InvalidInputException(String message) {
    super(message);
  }

  /** Makes an exception that names all that is wrong with {@code file}. */
  static InvalidInputException of(String file, List<? extends ManifestProblem> problems) {
    return new InvalidInputException(
        problems.stream()
            .map(problem -> file + ": " + problem.path() + ": " + problem.description())
            .collect(joining("\n")));
  }
}
