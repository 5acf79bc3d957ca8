package org.mustardstage.schema;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.mustardstage.core.manifest.DocumentProblem;
import org.mustardstage.core.manifest.Manifest;

/**
 * Puts manifests together from their parts. Parts that were read for an earlier manifest are not
 * read again. The parts of an accepted manifest are known to be valid together.
 */
public final class ManifestAssembler {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final TypeReference<List<String>> HASHES = new TypeReference<>() {};

  private Map<String, Manifest> partsByHash = new HashMap<>();

  /** Returns the hashes of the parts of the manifest that was put together last. */
  public ImmutableSet<String> partHashes() {
    return ImmutableSet.copyOf(partsByHash.keySet());
  }

  /** Returns the manifest whose root is stored under {@code rootHash}. */
  public Either<AssemblyProblem, Manifest> assemble(
      String rootHash, Function<String, Optional<String>> objects) {
    Optional<String> root = objects.apply(rootHash);
    if (root.isEmpty()) {
      return Either.left(new AssemblyProblem.Missing(ImmutableList.of(rootHash)));
    }
    return readRoot(rootHash, root.get()).flatMap(hashes -> assembleParts(hashes, objects));
  }

  private static Either<AssemblyProblem, List<String>> readRoot(String rootHash, String root) {
    try {
      return Either.right(MAPPER.readValue(root, HASHES));
    } catch (JsonProcessingException e) {
      return Either.left(new AssemblyProblem.Malformed(rootHash, e.getOriginalMessage()));
    }
  }

  private Either<AssemblyProblem, Manifest> assembleParts(
      List<String> hashes, Function<String, Optional<String>> objects) {
    Map<String, Manifest> parts = new HashMap<>();
    List<String> missing = new ArrayList<>();
    for (String hash : hashes) {
      Manifest known = partsByHash.get(hash);
      if (known != null) {
        parts.put(hash, known);
        continue;
      }
      Optional<String> content = objects.apply(hash);
      if (content.isEmpty()) {
        missing.add(hash);
        continue;
      }
      Either<AssemblyProblem, Manifest> part = readPart(hash, content.get());
      if (part.isLeft()) {
        return Either.left(part.getLeft());
      }
      parts.put(hash, part.get());
    }
    if (!missing.isEmpty()) {
      partsByHash.putAll(parts);
      return Either.left(new AssemblyProblem.Missing(missing));
    }
    partsByHash = parts;
    return Either.right(join(hashes.stream().map(parts::get).toList()));
  }

  private static Either<AssemblyProblem, Manifest> readPart(String hash, String content) {
    try {
      ManifestMapper mapper = new ManifestMapper();
      Manifest part = mapper.map(MAPPER.readTree(content));
      List<DocumentProblem> problems = mapper.problems();
      return problems.isEmpty()
          ? Either.right(part)
          : Either.left(new AssemblyProblem.Malformed(hash, problems.toString()));
    } catch (JsonProcessingException | RuntimeException e) {
      return Either.left(new AssemblyProblem.Malformed(hash, String.valueOf(e.getMessage())));
    }
  }

  private static Manifest join(List<Manifest> parts) {
    Manifest base = parts.getFirst();
    return new Manifest(
        base.deployment(),
        base.answerLifetimeMillis(),
        joinLists(parts, Manifest::zones),
        joinLists(parts, Manifest::regionLinks),
        joinLists(parts, Manifest::services),
        joinLists(parts, Manifest::callerBlocks),
        joinLists(parts, Manifest::moves),
        joinLists(parts, Manifest::drains));
  }

  private static <T> List<T> joinLists(List<Manifest> parts, Function<Manifest, List<T>> list) {
    return parts.stream().flatMap(part -> list.apply(part).stream()).toList();
  }
}
