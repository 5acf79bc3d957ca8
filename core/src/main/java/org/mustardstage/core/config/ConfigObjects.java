package org.mustardstage.core.config;

import java.util.List;

/** Stores the objects that manifests are composed of. */
public interface ConfigObjects {
  /**
   * Returns the hashes of the objects of the manifest of {@code head} that are not stored yet;
   * empty if the manifest is complete.
   *
   * @throws InvalidManifestException if one of its objects can't be read
   */
  List<String> findMissing(ConfigHead head) throws InvalidManifestException;

  /** Indicates that an object of an accepted manifest can't be read. */
  final class InvalidManifestException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates the exception for the object with {@code hash}. */
    public InvalidManifestException(String hash, String detail) {
      super("object " + hash + ": " + detail);
    }
  }
}
