package org.mustardstage.schema;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.mustardstage.core.manifest.DocumentProblem;
import org.mustardstage.core.manifest.Manifest;

/**
 * Assembles manifests from their parts. Each object is parsed once, on any thread, so that
 * assembling a manifest from parsed objects is fast. The assembled manifest is not checked again,
 * since a manifest is checked as a whole before it is accepted.
 */
public final class ManifestAssembler {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final TypeReference<List<String>> HASHES = new TypeReference<>() {};

  private final Map<String, ImmutableList<String>> roots = new ConcurrentHashMap<>();
  private final Map<String, Manifest> parts = new ConcurrentHashMap<>();

  /** Parses the object stored under {@code hash}. Returns its problem, if it has one. */
  public Optional<AssemblyProblem.Malformed> read(String hash, String content) {
    try {
      JsonNode node = MAPPER.readTree(content);
      if (node.isArray()) {
        roots.put(hash, ImmutableList.copyOf(MAPPER.convertValue(node, HASHES)));
        return Optional.empty();
      }
      return readPart(hash, node);
    } catch (JsonProcessingException | RuntimeException e) {
      return Optional.of(new AssemblyProblem.Malformed(hash, String.valueOf(e.getMessage())));
    }
  }

  private Optional<AssemblyProblem.Malformed> readPart(String hash, JsonNode node) {
    ManifestMapper mapper = new ManifestMapper();
    Manifest part = mapper.map(node);
    List<DocumentProblem> problems = mapper.problems();
    if (!problems.isEmpty()) {
      return Optional.of(new AssemblyProblem.Malformed(hash, problems.toString()));
    }
    parts.put(hash, part);
    return Optional.empty();
  }

  /** Returns the manifest with the root {@code rootHash}, or the hashes of the missing objects. */
  public Either<AssemblyProblem.Missing, Manifest> assemble(String rootHash) {
    ImmutableList<String> hashes = roots.get(rootHash);
    if (hashes == null) {
      return Either.left(new AssemblyProblem.Missing(ImmutableList.of(rootHash)));
    }
    List<String> missing = hashes.stream().filter(hash -> !parts.containsKey(hash)).toList();
    if (!missing.isEmpty()) {
      return Either.left(new AssemblyProblem.Missing(missing));
    }
    return Either.right(join(hashes.stream().map(parts::get).toList()));
  }

  /**
   * Drops all objects that are not part of the manifest with the root {@code rootHash}. Returns the
   * hashes of the objects of that manifest.
   */
  public ImmutableSet<String> retain(String rootHash) {
    ImmutableList<String> hashes = roots.getOrDefault(rootHash, ImmutableList.of());
    ImmutableSet<String> kept = ImmutableSet.<String>builder().addAll(hashes).add(rootHash).build();
    roots.keySet().retainAll(kept);
    parts.keySet().retainAll(kept);
    return kept;
  }

  private static Manifest join(List<Manifest> parts) {
    Manifest base = parts.getFirst();
    return new Manifest(
        base.deployment(),
        base.lookupTtlMillis(),
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
