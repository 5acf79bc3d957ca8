package org.mustardstage.schema;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.mustardstage.core.manifest.CallerBlock;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.Service;

/**
 * A manifest split into parts, each stored as an object under its hash, so that only the changed
 * parts of a new version have to be transferred. The root object lists the hashes of the parts.
 * Each service is a part of its own; caller blocks are split by the first octet of their address.
 *
 * @param rootHash the hash of the root object
 * @param objects the content of the root and of each part, by hash
 */
public record ManifestParts(String rootHash, Map<String, String> objects) {
  private static final int FIRST_OCTET_SHIFT = 24;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Copies the map. */
  public ManifestParts {
    objects = ImmutableMap.copyOf(objects);
  }

  /** Splits {@code manifest} into parts. Equal manifests have equal parts. */
  public static ManifestParts split(Manifest manifest) {
    Map<String, String> objects = new LinkedHashMap<>();
    List<String> hashes = new ArrayList<>();
    for (Manifest part : partsOf(manifest)) {
      String content = write(ManifestWriter.toGenerated(part));
      String hash = hashOf(content);
      objects.put(hash, content);
      hashes.add(hash);
    }
    String root = write(hashes);
    String rootHash = hashOf(root);
    objects.put(rootHash, root);
    return new ManifestParts(rootHash, objects);
  }

  private static List<Manifest> partsOf(Manifest manifest) {
    List<Manifest> parts = new ArrayList<>();
    parts.add(
        new Manifest(
            manifest.deployment(),
            manifest.lookupTtlMillis(),
            manifest.zones(),
            manifest.regionLinks(),
            ImmutableList.of(),
            ImmutableList.of(),
            ImmutableList.of(),
            ImmutableList.of()));
    parts.add(
        new Manifest(
            "",
            0,
            ImmutableList.of(),
            ImmutableList.of(),
            ImmutableList.of(),
            ImmutableList.of(),
            manifest.moves(),
            manifest.drains()));
    manifest.services().forEach(service -> parts.add(servicePart(service)));
    byFirstOctet(manifest.callerBlocks()).values().forEach(list -> parts.add(blocksPart(list)));
    return parts;
  }

  private static Manifest servicePart(Service service) {
    return new Manifest(
        "",
        0,
        ImmutableList.of(),
        ImmutableList.of(),
        ImmutableList.of(service),
        ImmutableList.of(),
        ImmutableList.of(),
        ImmutableList.of());
  }

  private static Manifest blocksPart(List<CallerBlock> blocks) {
    return new Manifest(
        "",
        0,
        ImmutableList.of(),
        ImmutableList.of(),
        ImmutableList.of(),
        blocks,
        ImmutableList.of(),
        ImmutableList.of());
  }

  private static TreeMap<Long, List<CallerBlock>> byFirstOctet(List<CallerBlock> blocks) {
    TreeMap<Long, List<CallerBlock>> byOctet = new TreeMap<>();
    for (CallerBlock block : blocks) {
      long octet = block.firstAddress() >>> FIRST_OCTET_SHIFT;
      byOctet.computeIfAbsent(octet, key -> new ArrayList<>()).add(block);
    }
    return byOctet;
  }

  /** Returns the hash under which an object with {@code content} is stored. */
  public static String hashOf(String content) {
    return Hashing.sha256().hashString(content, StandardCharsets.UTF_8).toString();
  }

  private static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("can't write a manifest part as JSON", e);
    }
  }
}
