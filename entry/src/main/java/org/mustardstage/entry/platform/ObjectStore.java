package org.mustardstage.entry.platform;

import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.util.Optional;

/** The object store of the platform. Objects are addressed by the SHA-256 hash of their content. */
public interface ObjectStore {
  /** Stores {@code content} under its hash and returns the hash. */
  Promise<Either<PlatformFailure, String>> put(byte[] content);

  /** Returns the object stored under {@code hash}, if it exists. */
  Promise<Either<PlatformFailure, Optional<byte[]>>> get(String hash);
}
