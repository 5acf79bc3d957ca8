package org.mustardstage.entry.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import org.mustardstage.core.hedge.HedgeSettings;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.DocumentProblem;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.placement.RegionShiftLimit;
import org.mustardstage.core.quota.QuotaSettings;

/**
 * Reads {@link GatewaySettings} from YAML. JSON, which is also YAML, is read by the JSON parser, as
 * the slower YAML parser would delay a process that restarts under load.
 */
public final class GatewaySettingsReader {
  private static final long DEFAULT_ANSWER_LIFETIME_MILLIS = 2_000;
  private static final double DEFAULT_MOVED_SHARE = 0.15;
  private static final long DEFAULT_MOVED_WITHIN_MILLIS = 2_000;
  private static final double MILLI_CORES_PER_CORE = 1_000;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double NANOS_PER_SECOND = 1e9;

  private final JsonNode root;
  private final List<DocumentProblem> problems = new ArrayList<>();

  private static final int DEFAULT_MAX_DESCRIPTORS = 1_024;

  private GatewaySettingsReader(JsonNode root) {
    this.root = root;
  }

  /** Returns the settings in {@code text}, or all problems that were found in it. */
  public static Either<List<DocumentProblem>, GatewaySettings> read(String text) {
    JsonNode root;
    try {
      ObjectMapper mapper = text.stripLeading().startsWith("{") ? new ObjectMapper() : yaml();
      root = mapper.readTree(text);
    } catch (JsonProcessingException e) {
      return Either.left(
          ImmutableList.of(new DocumentProblem.NotYaml(0, 0, e.getOriginalMessage())));
    }
    return new GatewaySettingsReader(root).read();
  }

  private static ObjectMapper yaml() {
    return new YAMLMapper();
  }

  private Either<List<DocumentProblem>, GatewaySettings> read() {
    GatewaySettings settings;
    try {
      settings =
          new GatewaySettings(
              text("vm", VmId::new),
              text("zone", ZoneId::new),
              text("region", RegionId::new),
              regions(),
              text("callerAddress", HostAndPort::parse),
              text("readinessAddress", HostAndPort::parse),
              optional("lookupAddress"),
              text("peerAddress", HostAndPort::parse),
              text("metricsAddress", HostAndPort::parse),
              text("platformAddress", HostAndPort::parse),
              seeds(),
              root.path("answerLifetimeMillis").asLong(DEFAULT_ANSWER_LIFETIME_MILLIS),
              (long) (number("stopWithinSeconds") * MILLIS_PER_SECOND),
              number("repeatShare"),
              (int) number("repeatReserve"),
              new RegionShiftLimit(
                  root.path("movedShare").asDouble(DEFAULT_MOVED_SHARE),
                  Duration.ofMillis(
                      root.path("movedWithinMillis").asLong(DEFAULT_MOVED_WITHIN_MILLIS))),
              root.has("keyLifetimeSeconds")
                  ? OptionalLong.of((long) (number("keyLifetimeSeconds") * MILLIS_PER_SECOND))
                  : OptionalLong.empty(),
              (int)
                  (MILLI_CORES_PER_CORE
                      * root.path("cores").asDouble(1)
                      * root.path("cpuShare").asDouble(1)),
              root.path("maxDescriptors").asInt(DEFAULT_MAX_DESCRIPTORS),
              root.path("logLevel").asText("info"),
              quotas(),
              new HedgeSettings(
                  root.has("hedgeShare") ? number("hedgeShare") : HedgeSettings.OFF.extraShare()));
    } catch (IllegalArgumentException | NullPointerException e) {
      if (problems.isEmpty()) {
        problems.add(
            new DocumentProblem.WrongValue(
                DocumentProblem.ROOT_PATH, "valid settings", String.valueOf(e.getMessage())));
      }
      return Either.left(ImmutableList.copyOf(problems));
    }
    return problems.isEmpty()
        ? Either.right(settings)
        : Either.left(ImmutableList.copyOf(problems));
  }

  private QuotaSettings quotas() {
    QuotaSettings defaults = QuotaSettings.defaults();
    double windowSeconds =
        root.path("quotaWindowSeconds").asDouble(defaults.windowNanos() / NANOS_PER_SECOND);
    return new QuotaSettings(
        (long) (windowSeconds * NANOS_PER_SECOND),
        root.path("quotaExcessShare").asDouble(defaults.excessShare()),
        root.path("quotaReserve").asDouble(defaults.reserve()));
  }

  private <T> T text(String name, Function<String, T> parse) {
    JsonNode node = root.path(name);
    if (!node.isTextual() || node.asText().isEmpty()) {
      problems.add(
          new DocumentProblem.WrongValue("/" + name, "a non-empty string", node.toString()));
      return null;
    }
    return parse(name, node.asText(), parse);
  }

  private <T> T parse(String path, String text, Function<String, T> parse) {
    try {
      return parse.apply(text);
    } catch (IllegalArgumentException e) {
      problems.add(
          new DocumentProblem.WrongValue("/" + path, String.valueOf(e.getMessage()), text));
      return null;
    }
  }

  private Optional<HostAndPort> optional(String name) {
    String text = root.path(name).asText("");
    return text.isEmpty()
        ? Optional.empty()
        : Optional.ofNullable(parse(name, text, HostAndPort::parse));
  }

  private double number(String name) {
    JsonNode node = root.path(name);
    if (!node.isNumber()) {
      problems.add(new DocumentProblem.WrongValue("/" + name, "a number", node.toString()));
      return 1;
    }
    return node.asDouble();
  }

  private Map<ZoneId, RegionId> regions() {
    Map<ZoneId, RegionId> regions = new HashMap<>();
    for (Map.Entry<String, JsonNode> entry : root.path("regions").properties()) {
      regions.put(new ZoneId(entry.getKey()), new RegionId(entry.getValue().asText()));
    }
    return regions;
  }

  /**
   * Returns the peer addresses of the seed hosts, without this VM's own. Seeds are configured by
   * host, as all VMs use the same port for peers; a port in a seed is ignored.
   */
  private List<HostAndPort> seeds() {
    HostAndPort own = HostAndPort.parse(root.path("peerAddress").asText("unset:1"));
    List<HostAndPort> seeds = new ArrayList<>();
    for (JsonNode node : root.path("seedHosts")) {
      String host = node.asText().replaceAll(":.*", "");
      HostAndPort seed = new HostAndPort(host, own.port());
      if (!seed.equals(own)) {
        seeds.add(seed);
      }
    }
    return seeds;
  }
}
