package org.mustardstage.entry.control;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mustardstage.core.config.ConfigHead;
import org.mustardstage.core.config.ConfigObjects;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.schema.AssemblyProblem;
import org.mustardstage.schema.ManifestAssembler;
import org.mustardstage.schema.ManifestParts;

/**
 * Keeps the objects of the manifest in force and of the one being fetched, to put manifests
 * together and to hand objects to other VMs. Used on the control thread only.
 */
final class ObjectCache implements ConfigObjects {
  private final ManifestAssembler assembler = new ManifestAssembler();
  private final Map<String, String> contents = new HashMap<>();
  private Optional<Manifest> assembled = Optional.empty();

  /** Keeps {@code content} when it has the hash. Returns whether it has. */
  boolean put(String hash, String content) {
    boolean matches = ManifestParts.hashOf(content).equals(hash);
    if (matches) {
      contents.put(hash, content);
    }
    return matches;
  }

  Optional<String> get(String hash) {
    return Optional.ofNullable(contents.get(hash));
  }

  @Override
  public List<String> findMissing(ConfigHead head) throws InvalidManifestException {
    Either<AssemblyProblem, Manifest> result = assembler.assemble(head.rootHash(), this::get);
    if (result.isRight()) {
      assembled = Optional.of(result.get());
      return ImmutableList.of();
    }
    return switch (result.getLeft()) {
      case AssemblyProblem.Missing missing -> missing.hashes();
      case AssemblyProblem.Malformed malformed ->
          throw new InvalidManifestException(malformed.hash(), malformed.detail());
    };
  }

  /** Returns the manifest of {@code head}, put together last; forgets objects of no use to it. */
  Manifest takeAssembled(ConfigHead head) {
    Set<String> partHashes = assembler.partHashes();
    contents.keySet().removeIf(hash -> !hash.equals(head.rootHash()) && !partHashes.contains(hash));
    return assembled.orElseThrow();
  }
}
