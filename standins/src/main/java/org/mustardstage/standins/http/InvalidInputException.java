package org.mustardstage.standins.http;

import static java.util.stream.Collectors.joining;

import java.util.List;
import org.mustardstage.core.manifest.ManifestProblem;

/** Thrown when a file, an option or a response that a stand-in needs can't be used. */
public final class InvalidInputException extends Exception {
  /** Creates an exception with {@code message}. */
  public InvalidInputException(String message) {
    super(message);
  }

  /** Creates an exception that lists every problem of {@code file}, one per line. */
  static InvalidInputException of(String file, List<? extends ManifestProblem> problems) {
    return new InvalidInputException(
        problems.stream()
            .map(problem -> file + ": " + problem.path() + ": " + problem.description())
            .collect(joining("\n")));
  }
}
