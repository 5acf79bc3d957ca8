package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Longs;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.mustardstage.core.gateway.GatewayConfig;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.http.HeaderList;
import org.mustardstage.core.tenant.ApiKeyHash;
import org.mustardstage.core.tenant.Tenant;
import org.mustardstage.entry.traffic.Headers;

/** Validates the head of a caller's request, matches it to a rule and determines its deadline. */
final class RequestReader {
  private static final HttpHeader RELAYED_KEY_HASH = HttpHeaders.of(RelayHeader.KEY_HASH_NAME);
  private static final HttpHeader RELAY = HttpHeaders.of(RelayHeader.NAME);

  private final HeaderNames headerNames;
  private final BooleanSupplier acceptsKeys;
  private final HttpHeader requestId;
  private final HttpHeader deadlineMillis;
  private final HttpHeader expectedEndpoint;
  private final HttpHeader apiKey;
  private final HttpHeader tenant;

  /**
   * Creates a reader.
   *
   * @param acceptsKeys returns whether the keys of the active configuration may be accepted
   */
  RequestReader(HeaderNames headerNames, BooleanSupplier acceptsKeys) {
    this.acceptsKeys = acceptsKeys;
    this.headerNames = headerNames;
    this.requestId = HttpHeaders.of(headerNames.requestId());
    this.deadlineMillis = HttpHeaders.of(headerNames.deadlineMillis());
    this.expectedEndpoint = HttpHeaders.of(headerNames.expectedEndpoint());
    this.apiKey = HttpHeaders.of(headerNames.apiKey());
    this.tenant = HttpHeaders.of(headerNames.tenant());
  }

  /** Why a request is rejected; the names are sent to callers. */
  enum Problem {
    /** A header name is invalid, the method is not supported, or the Host header is missing. */
    MALFORMED(400),
    /**
     * The end of the body is ambiguous, or the HTTP server understands it in another way than the
     * headers say. What follows on the connection may be a part of the body.
     */
    AMBIGUOUS_FRAMING(400),
    /** The HTTP server has decoded the body, so that it can't be forwarded unchanged. */
    BODY_ENCODED(415),
    /** No rule matches the host and path. */
    NO_ROUTE(404),
    /** The rule needs an API key, and the request has none. */
    KEY_MISSING(401),
    /** No tenant of the configuration holds the API key. */
    KEY_UNKNOWN(401),
    /** There are several API keys, or the one can't be a key: it is too long, for instance. */
    KEY_MALFORMED(401),
    /** This VM has had no news of the keys for too long. */
    KEYS_STALE(503),
    /** Another VM relayed the request by a newer configuration than this VM has. */
    OLDER_CONFIG(503),
    /** The body is larger than the configuration allows. */
    BODY_TOO_LARGE(413);

    private final int status;

    Problem(int status) {
      this.status = status;
    }

    int status() {
      return status;
    }
  }

  /**
   * The head of a request.
   *
   * @param id the request id that the caller chose, or an empty string
   * @param rule the routing rule that the request matches
   * @param tenant the tenant whose caller sent it; empty if the request needs no key
   * @param keyHash the hash of the API key that came with it, also if it needs none
   * @param affinityKey the key whose requests are kept together, if the rule has affinity
   * @param headers the headers that are forwarded to the endpoint
   * @param arrivalNanos when the request arrived at the first VM
   * @param deadlineNanos the earlier of the caller's deadline and the rule's timeout
   * @param relay what the VM says that relayed the request, if one did
   */
  record Head(
      String id,
      RoutingRule rule,
      Optional<Tenant> tenant,
      Optional<ApiKeyHash> keyHash,
      Optional<String> affinityKey,
      HeaderList headers,
      long arrivalNanos,
      long deadlineNanos,
      Optional<RelayHeader> relay) {}

  /**
   * Returns the head of {@code request}, or the reason to reject it.
   *
   * @param isVm returns whether another VM has an address
   */
  Either<Problem, Head> read(
      HttpRequest request, GatewayConfig config, long nowNanos, Predicate<InetAddress> isVm) {
    Optional<Problem> framing = checkFraming(request, config);
    if (framing.isPresent()) {
      return Either.left(framing.get());
    }
    Optional<String> relayText =
        Optional.ofNullable(request.getHeader(RELAY))
            .filter(text -> isVm.test(request.getRemoteAddress()));
    Optional<RelayHeader> relay = relayText.flatMap(RelayHeader::parse);
    if (relayText.isPresent() && relay.isEmpty()) {
      return Either.left(Problem.MALFORMED);
    }
    if (relay.filter(r -> r.configVersion() > config.version().number()).isPresent()) {
      // Before anything is looked up in this configuration, which may lack the rule or the key.
      return Either.left(Problem.OLDER_CONFIG);
    }
    String host = request.getHeader(HttpHeaders.HOST);
    if (host == null) {
      return Either.left(Problem.MALFORMED);
    }
    Optional<RoutingRule> rule = config.findRule(host, request.getPath());
    if (rule.isEmpty()) {
      return Either.left(Problem.NO_ROUTE);
    }
    Either<Problem, ApiKeyHash> keyHash = readKeyHash(request, relay.isPresent());
    Either<Problem, Optional<Tenant>> keyTenant = findTenant(config, rule.get(), keyHash);
    if (keyTenant.isLeft()) {
      return Either.left(keyTenant.getLeft());
    }
    long arrivalNanos =
        nowNanos - TimeUnit.MILLISECONDS.toNanos(relay.map(RelayHeader::elapsedMillis).orElse(0L));
    String id = request.getHeader(requestId);
    return Either.right(
        new Head(
            id == null ? "" : id,
            rule.get(),
            keyTenant.get(),
            keyHash.toJavaOptional(),
            rule.get().affinity() ? affinityKeyOf(request) : Optional.empty(),
            forwardedHeaders(request),
            arrivalNanos,
            deadlineNanos(request, rule.get(), arrivalNanos, nowNanos),
            relay));
  }

  /**
   * Returns the hash of the API key in {@code request}: of the key that the caller sent, or of the
   * one that another VM read from the request that it relays.
   */
  private Either<Problem, ApiKeyHash> readKeyHash(HttpRequest request, boolean isRelayed) {
    List<String> values = valuesOf(request, isRelayed ? RELAYED_KEY_HASH : apiKey);
    if (values.isEmpty()) {
      return Either.left(Problem.KEY_MISSING);
    }
    String value = values.getFirst().trim();
    if (values.size() > 1) {
      return Either.left(Problem.KEY_MALFORMED);
    }
    if (isRelayed) {
      return ApiKeyHash.parse(value)
          .map(Either::<Problem, ApiKeyHash>right)
          .orElse(Either.left(Problem.KEY_MALFORMED));
    }
    return ApiKeyHash.isValidKey(value)
        ? Either.right(ApiKeyHash.of(value))
        : Either.left(Problem.KEY_MALFORMED);
  }

  private Either<Problem, Optional<Tenant>> findTenant(
      GatewayConfig config, RoutingRule rule, Either<Problem, ApiKeyHash> keyHash) {
    if (rule.anonymous() || config.tenants().isEmpty()) {
      return Either.right(Optional.empty());
    }
    if (!acceptsKeys.getAsBoolean()) {
      return Either.left(Problem.KEYS_STALE);
    }
    return keyHash.flatMap(
        hash ->
            config
                .tenants()
                .findByKeyHash(hash)
                .map(found -> Either.<Problem, Optional<Tenant>>right(Optional.of(found)))
                .orElse(Either.left(Problem.KEY_UNKNOWN)));
  }

  private static Optional<Problem> checkFraming(HttpRequest request, GatewayConfig config) {
    HttpMethod method = request.getMethod();
    if (method == HttpMethod.CONNECT || method == HttpMethod.TRACE) {
      return Optional.of(Problem.MALFORMED);
    }
    if (!hasValidHeaderNames(request)) {
      return Optional.of(Problem.MALFORMED);
    }
    List<String> encodings = valuesOf(request, HttpHeaders.TRANSFER_ENCODING);
    List<String> lengths = valuesOf(request, HttpHeaders.CONTENT_LENGTH);
    if (encodings.size() + lengths.size() > 1
        || !encodings.isEmpty() != request.getConnection().isChunked()) {
      return Optional.of(Problem.AMBIGUOUS_FRAMING);
    }
    if (request.getConnection().isGzipped()) {
      return Optional.of(Problem.BODY_ENCODED);
    }
    if (lengths.isEmpty()) {
      return Optional.empty();
    }
    Long length = Longs.tryParse(lengths.getFirst().trim());
    if (length == null || length < 0) {
      return Optional.of(Problem.AMBIGUOUS_FRAMING);
    }
    return length > config.callerLimits().maxBodyBytes()
        ? Optional.of(Problem.BODY_TOO_LARGE)
        : Optional.empty();
  }

  /**
   * Returns whether no header name contains a space or a control character. Endpoints may ignore
   * these, and so take for a header of the gateway what a caller sent under an odd name.
   */
  private static boolean hasValidHeaderNames(HttpRequest request) {
    boolean[] allValid = {true};
    request.forEachHeader(
        (header, value) -> {
          allValid[0] = header.toString().chars().allMatch(c -> c > ' ' && c <= '~');
          return allValid[0];
        });
    return allValid[0];
  }

  private static ImmutableList<String> valuesOf(HttpRequest request, HttpHeader header) {
    ImmutableList.Builder<String> values = ImmutableList.builder();
    request.forEachHeader(
        header,
        value -> {
          values.add(value.toString());
          return true;
        });
    return values.build();
  }

  private Optional<String> affinityKeyOf(HttpRequest request) {
    for (String cookies : valuesOf(request, HttpHeaders.COOKIE)) {
      for (String cookie : cookies.split(";", -1)) {
        String text = cookie.trim();
        if (text.startsWith(headerNames.affinityCookie() + "=")) {
          return Optional.of(text.substring(headerNames.affinityCookie().length() + 1));
        }
      }
    }
    return Optional.empty();
  }

  private long deadlineNanos(
      HttpRequest request, RoutingRule rule, long arrivalNanos, long nowNanos) {
    long timeoutNanos = arrivalNanos + TimeUnit.MILLISECONDS.toNanos(rule.timeoutMillis());
    String header = request.getHeader(deadlineMillis);
    Long callerMillis = header == null ? null : Longs.tryParse(header.trim());
    if (callerMillis == null || callerMillis < 0) {
      return timeoutNanos;
    }
    long callerNanos =
        nowNanos + TimeUnit.MILLISECONDS.toNanos(Math.min(callerMillis, rule.timeoutMillis()));
    return callerNanos - timeoutNanos < 0 ? callerNanos : timeoutNanos;
  }

  private HeaderList forwardedHeaders(HttpRequest request) {
    String connection = request.getHeader(HttpHeaders.CONNECTION);
    String connectionOptions = connection == null ? "" : connection.toLowerCase(Locale.ROOT);
    List<HeaderList.Line> lines = new ArrayList<>();
    request.forEachHeader(
        (header, value) -> {
          String name = header.toString();
          boolean perConnection =
              Headers.isHopByHop(header)
                  || isListed(connectionOptions, name.toLowerCase(Locale.ROOT));
          if (!perConnection && !isSetByGateway(header)) {
            lines.add(new HeaderList.Line(name, value.toString()));
          }
          return true;
        });
    return new HeaderList(lines);
  }

  private static boolean isListed(String connectionOptions, String name) {
    for (String option : connectionOptions.split(",", -1)) {
      if (option.trim().equals(name)) {
        return true;
      }
    }
    return false;
  }

  private boolean isSetByGateway(HttpHeader header) {
    return header.equals(HttpHeaders.CONTENT_LENGTH)
        || header.equals(HttpHeaders.ACCEPT_ENCODING)
        || header.equals(deadlineMillis)
        || header.equals(expectedEndpoint)
        || header.equals(apiKey)
        || header.equals(tenant)
        || header.equals(RELAYED_KEY_HASH)
        || header.equals(RELAY);
  }
}
