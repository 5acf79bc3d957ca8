package org.mustardstage.entry.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.mustardstage.core.config.ConfigHead;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.SubmissionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.permit.OwnershipList;
import org.mustardstage.entry.platform.Row;

/** Defines the keys and encodes the values of the rows that entry VMs keep in the table service. */
final class TableRows {
  /** The key of the row with the head, the version and root hash of the accepted manifest. */
  static final String HEAD_KEY = "config/head";

  /** The key prefix of the audit rows. */
  static final String AUDIT_PREFIX = "config/audit/";

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private TableRows() {}

  static String auditKey(ConfigVersion version) {
    return AUDIT_PREFIX + String.format(Locale.ROOT, "%016d", version.number());
  }

  static String submissionKey(SubmissionId submission) {
    return "config/submission/" + submission;
  }

  static String ownershipKey(ZoneId zone) {
    return "ownership/" + zone;
  }

  static String fromHead(ConfigHead head) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("version", head.version().number());
    node.put("hash", head.rootHash());
    return node.toString();
  }

  /** Returns the head in {@code row}, or empty if the row can't be parsed. */
  static Optional<ConfigHead> toHead(Row row) {
    return parse(row)
        .filter(node -> node.path("version").isIntegralNumber())
        .map(
            node ->
                new ConfigHead(
                    new ConfigVersion(node.path("version").asLong()), node.path("hash").asText()));
  }

  static Optional<ConfigVersion> toVersion(Row row) {
    return toHead(row).map(ConfigHead::version);
  }

  static String fromOwners(List<VmIncarnation> owners) {
    ArrayNode array = MAPPER.createArrayNode();
    for (VmIncarnation owner : owners) {
      array.addObject().put("vm", owner.vm().value()).put("number", owner.number());
    }
    return array.toString();
  }

  /**
   * Returns the ownership list of {@code zone}, or empty if the row can't be parsed. An absent row
   * is an absent list.
   */
  static Optional<OwnershipList> toOwnershipList(ZoneId zone, Optional<Row> row) {
    if (row.isEmpty()) {
      return Optional.of(OwnershipList.absent(zone));
    }
    return parse(row.get())
        .map(TableRows::toOwners)
        .filter(owners -> owners.size() == OwnershipList.PART_COUNT)
        .map(owners -> new OwnershipList(zone, row.get().revision(), owners));
  }

  private static ImmutableList<VmIncarnation> toOwners(JsonNode array) {
    List<VmIncarnation> owners = new ArrayList<>();
    for (JsonNode owner : array) {
      owners.add(
          new VmIncarnation(new VmId(owner.path("vm").asText()), owner.path("number").asLong()));
    }
    return ImmutableList.copyOf(owners);
  }

  static Optional<JsonNode> parse(Row row) {
    try {
      return Optional.of(MAPPER.readTree(row.value()));
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }
}
