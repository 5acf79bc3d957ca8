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
 * Keeps the objects of the manifest in force and of the one being fetched, to put manifests
 * together and to hand objects to other VMs. Objects are read on another thread, as a large one
 * takes longer than permits may wait; all else runs on the control thread.
 */
final class ObjectCache implements ConfigObjects {
  private final Executor reader;
  private final ManifestAssembler assembler = new ManifestAssembler();
  private final Map<String, String> contents = new HashMap<>();
  private final Map<String, AssemblyProblem.Malformed> malformed = new HashMap<>();
  private Optional<Manifest> assembled = Optional.empty();

  ObjectCache(Executor reader) {
    this.reader = reader;
  }

  /** How the reading of an object ended. */
  private record Reading(boolean hashMatches, Optional<AssemblyProblem.Malformed> problem) {}

  /** Reads and keeps {@code content} when it has the hash. Returns whether it has. */
  Promise<Boolean> put(String hash, String content) {
    return Promise.ofBlocking(reader, () -> read(hash, content))
        .map(
            reading -> {
              keep(hash, content, reading);
              return reading.hashMatches();
            });
  }

  private Reading read(String hash, String content) {
    boolean matches = ManifestParts.hashOf(content).equals(hash);
    return new Reading(matches, matches ? assembler.read(hash, content) : Optional.empty());
  }

  private void keep(String hash, String content, Reading reading) {
    if (reading.hashMatches()) {
      contents.put(hash, content);
      reading.problem().ifPresent(problem -> malformed.put(hash, problem));
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

  /** Returns the manifest of {@code head}, put together last; forgets objects of no use to it. */
  Manifest takeAssembled(ConfigHead head) {
    ImmutableSet<String> kept = assembler.retain(head.rootHash());
    contents.keySet().retainAll(kept);
    malformed.clear();
    return assembled.orElseThrow();
  }
}
