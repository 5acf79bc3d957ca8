package org.mustardstage.entry.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.mustardstage.core.config.ConfigHead;
import org.mustardstage.core.config.ConfigObjects;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.schema.AssemblyProblem;
import org.mustardstage.schema.ManifestAssembler;
import org.mustardstage.schema.ManifestParts;

/**
 * Holds the objects of the active manifest and of the one being fetched, to assemble manifests and
 * to send objects to other VMs. Objects are parsed on another thread, because parsing a large one
 * would delay permits for too long; everything else runs on the control thread.
 */
final class ObjectCache implements ConfigObjects {
  private final Executor objectReader;
  private final ManifestAssembler assembler = new ManifestAssembler();
  private final Map<String, String> contents = new HashMap<>();
  private final Map<String, AssemblyProblem.Malformed> malformed = new HashMap<>();
  private Optional<Manifest> assembled = Optional.empty();

  ObjectCache(Executor objectReader) {
    this.objectReader = objectReader;
  }

  /** The result of parsing an object. */
  private record ReadResult(boolean hashMatches, Optional<AssemblyProblem.Malformed> problem) {}

  /** Parses and stores {@code content} if its hash matches. Returns whether it does. */
  Promise<Boolean> put(String hash, String content) {
    return Promise.ofBlocking(objectReader, () -> read(hash, content))
        .map(
            result -> {
              store(hash, content, result);
              return result.hashMatches();
            });
  }

  private ReadResult read(String hash, String content) {
    boolean matches = ManifestParts.hashOf(content).equals(hash);
    return new ReadResult(matches, matches ? assembler.read(hash, content) : Optional.empty());
  }

  private void store(String hash, String content, ReadResult result) {
    if (result.hashMatches()) {
      contents.put(hash, content);
      result.problem().ifPresent(problem -> malformed.put(hash, problem));
    }
  }

  Optional<String> get(String hash) {
    return Optional.ofNullable(contents.get(hash));
  }

  @Override
  public List<String> findMissing(ConfigHead head) throws InvalidManifestException {
    Either<AssemblyProblem.Missing, Manifest> result = assembler.assemble(head.rootHash());
    if (result.isRight()) {
      assembled = Optional.of(result.get());
      return ImmutableList.of();
    }
    for (String hash : result.getLeft().hashes()) {
      AssemblyProblem.Malformed problem = malformed.get(hash);
      if (problem != null) {
        throw new InvalidManifestException(hash, problem.detail());
      }
    }
    return result.getLeft().hashes();
  }

  /**
   * Returns the manifest of {@code head}, the last one assembled, and removes unrelated objects.
   */
  Manifest takeAssembled(ConfigHead head) {
    ImmutableSet<String> usedHashes = assembler.retain(head.rootHash());
    contents.keySet().retainAll(usedHashes);
    malformed.clear();
    return assembled.orElseThrow();
  }
}
