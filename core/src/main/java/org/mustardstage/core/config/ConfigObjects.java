package org.mustardstage.core.config;

import java.util.List;

/** Keeps the objects of manifests and puts manifests together. */
public interface ConfigObjects {
  /**
   * Returns the hashes of the objects that are missing to put the manifest of {@code head}
   * together; none when it is whole.
   *
   * @throws InvalidManifestException if an object of it can't be read
   */
  List<String> findMissing(ConfigHead head) throws InvalidManifestException;

  /** Says that an object of an accepted manifest can't be read. */
  final class InvalidManifestException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates the exception for the object under {@code hash}. */
    public InvalidManifestException(String hash, String detail) {
      super("object " + hash + ": " + detail);
    }
  }
}
