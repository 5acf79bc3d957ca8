package org.mustardstage.entry.control;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.lookup.LookupTable;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.outcome.KeyPrefix;
import org.mustardstage.core.outcome.NotRunCause;
import org.mustardstage.core.overload.RejectionReason;
import org.mustardstage.entry.traffic.LookupHandler;

/**
 * Writes lookup responses. Responses that differ only in the caller are written once per lookup
 * table and cached. Used on traffic threads.
 */
public final class CachingLookupHandler implements LookupHandler {
  private static final int MAX_CACHED_RESPONSES = 100_000;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final ControlThread control;
  private final AtomicReference<ResponseCache> cache;

  /** Creates a handler that reads the lookup table published by {@code control}. */
  public CachingLookupHandler(ControlThread control) {
    this.control = control;
    this.cache = new AtomicReference<>(new ResponseCache(control.lookupTable()));
  }

  /** The responses written for one lookup table. */
  private static final class ResponseCache {
    private final LookupTable table;
    private final Map<ResponseKey, byte[]> responses = new ConcurrentHashMap<>();

    ResponseCache(LookupTable table) {
      this.table = table;
    }
  }

  /** Everything a response depends on besides the lookup table. */
  private record ResponseKey(ServiceName service, ImmutableList<Member> vms, KeyPrefix keyPrefix) {}

  @Override
  public Either<NotRunCause, byte[]> lookup(
      ServiceName service, int callerAddress, KeyPrefix keyPrefix) {
    Optional<Manifest> manifest = control.snapshot().manifest();
    if (manifest.isEmpty()) {
      return Either.left(new NotRunCause.AdmissionRejection(RejectionReason.NO_MANIFEST));
    }
    if (manifest.get().findService(service).isEmpty()) {
      return Either.left(new NotRunCause.AdmissionRejection(RejectionReason.UNKNOWN_SERVICE));
    }
    ResponseCache current = currentCache();
    ResponseKey key = new ResponseKey(service, current.table.find(callerAddress), keyPrefix);
    byte[] cached = current.responses.get(key);
    if (cached != null) {
      return Either.right(cached);
    }
    byte[] written = write(key, manifest.get());
    if (current.responses.size() < MAX_CACHED_RESPONSES) {
      current.responses.put(key, written);
    }
    return Either.right(written);
  }

  private ResponseCache currentCache() {
    LookupTable table = control.lookupTable();
    ResponseCache current = cache.get();
    if (current.table != table) {
      current = new ResponseCache(table);
      cache.set(current);
    }
    return current;
  }

  private byte[] write(ResponseKey key, Manifest manifest) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put("service", key.service().value());
    root.put("version", control.lookupTable().version().number());
    root.put("lifetimeMillis", manifest.lookupTtlMillis());
    root.put("keyPrefix", key.keyPrefix().toString());
    ArrayNode vms = root.putArray("entryVms");
    for (Member member : key.vms()) {
      vms.addObject()
          .put("vm", member.vm().value())
          .put("address", member.trafficAddress().toString())
          .put("weight", 1);
    }
    return root.toString().getBytes(StandardCharsets.UTF_8);
  }
}
