package org.mustardstage.standins.http;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.ManifestProblem;
import org.mustardstage.schema.ManifestReader;
import org.mustardstage.schema.SettingsReader;

/** Reads and validates manifest and settings files. */
public final class InputFiles {
  private InputFiles() {}

  /**
   * Returns the manifest in {@code file}.
   *
   * @throws InvalidInputException if the file can't be read or the manifest is invalid
   */
  public static Manifest readManifest(String file) throws InvalidInputException {
    return orThrow(file, ManifestReader.read(readText(file)));
  }

  /**
   * Returns the settings in {@code file}.
   *
   * @throws InvalidInputException if the file can't be read or the settings are invalid
   */
  public static <T> T readSettings(String file, Class<T> type) throws InvalidInputException {
    return orThrow(file, SettingsReader.read(readText(file), type));
  }

  private static String readText(String file) throws InvalidInputException {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new InvalidInputException("can't read file " + file + ": " + e);
    }
  }

  private static <P extends ManifestProblem, T> T orThrow(String file, Either<List<P>, T> result)
      throws InvalidInputException {
    if (result.isLeft()) {
      throw InvalidInputException.of(file, result.getLeft());
    }
    return result.get();
  }
}
