package org.mustardstage.entry.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.Member;

/** Converts rows, transactions and members to the platform's JSON and back. */
final class PlatformJson {
  private static final String LEAVING = "leaving";
  private static final ObjectMapper MAPPER =
      new ObjectMapper().configure(DeserializationFeature.FAIL_ON_TRAILING_TOKENS, true);

  private PlatformJson() {}

  static Either<PlatformFailure, JsonNode> parse(byte[] body) {
    try {
      return Either.right(MAPPER.readTree(body));
    } catch (IOException e) {
      return Either.left(new PlatformFailure.Malformed(String.valueOf(e.getMessage())));
    }
  }

  static Either<PlatformFailure, Row> toRow(JsonNode node) {
    JsonNode key = node.path("key");
    JsonNode revision = node.path("revision");
    JsonNode value = node.path("value");
    if (!key.isTextual() || !revision.isIntegralNumber() || !value.isTextual()) {
      return Either.left(
          new PlatformFailure.Malformed(
              "row lacks a text key, an integer revision or a text value"));
    }
    return Either.right(new Row(key.asText(), revision.asLong(), value.asText()));
  }

  static Either<PlatformFailure, List<Row>> toRows(JsonNode node) {
    List<Row> rows = new ArrayList<>();
    for (JsonNode element : node.path("rows")) {
      Either<PlatformFailure, Row> row = toRow(element);
      if (row.isLeft()) {
        return Either.left(row.getLeft());
      }
      rows.add(row.get());
    }
    return Either.right(rows);
  }

  static byte[] fromTransaction(Transaction transaction) {
    ObjectNode root = MAPPER.createObjectNode();
    ArrayNode conditions = root.putArray("conditions");
    for (Transaction.Condition condition : transaction.conditions()) {
      conditions.addObject().put("key", condition.key()).put("revision", condition.revision());
    }
    ArrayNode writes = root.putArray("writes");
    for (Transaction.Write write : transaction.writes()) {
      ObjectNode node = writes.addObject().put("key", write.key());
      write.value().ifPresent(value -> node.put("value", value));
    }
    return toBytes(root);
  }

  static Either<PlatformFailure, List<Member>> toMembers(JsonNode node) {
    return Try.of(() -> readMembers(node))
        .toEither()
        .mapLeft(e -> new PlatformFailure.Malformed(String.valueOf(e.getMessage())));
  }

  private static List<Member> readMembers(JsonNode node) {
    List<Member> members = new ArrayList<>();
    for (JsonNode vm : node.path("vms")) {
      members.add(toMember(vm));
    }
    return members;
  }

  private static Member toMember(JsonNode vm) {
    String host = vm.path("address").asText();
    return new Member(
        new VmIncarnation(new VmId(vm.path("vm").asText()), vm.path("incarnation").asLong()),
        new ZoneId(vm.path("zone").asText()),
        new RegionId(vm.path("region").asText()),
        new HostAndPort(host, vm.path("trafficPort").asInt()),
        new HostAndPort(host, vm.path("peerPort").asInt()),
        new HostAndPort(host, vm.path("adminPort").asInt()),
        LEAVING.equals(vm.path("state").asText()));
  }

  static byte[] fromMember(Member member) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("vm", member.vm().value());
    node.put("incarnation", member.incarnation().number());
    node.put("zone", member.zone().value());
    node.put("region", member.region().value());
    node.put("address", member.trafficAddress().host());
    node.put("trafficPort", member.trafficAddress().port());
    node.put("peerPort", member.peerAddress().port());
    node.put("adminPort", member.adminAddress().port());
    node.put("state", member.leaving() ? LEAVING : "live");
    return toBytes(node);
  }

  private static byte[] toBytes(ObjectNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("can't write a JSON tree", e);
    }
  }
}
