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
 * Writes look-up answers. Answers that differ only by the caller are written once for each look-up
 * table. Used on traffic threads.
 */
public final class CachingLookupHandler implements LookupHandler {
  private static final int MAX_CACHED_ANSWERS = 100_000;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final ControlThread control;
  private final AtomicReference<Cache> cache;

  /** Creates the answers from what {@code control} publishes. */
  public CachingLookupHandler(ControlThread control) {
    this.control = control;
    this.cache = new AtomicReference<>(new Cache(control.lookupTable()));
  }

  /** The answers written for one table. */
  private static final class Cache {
    private final LookupTable table;
    private final Map<Key, byte[]> answers = new ConcurrentHashMap<>();

    Cache(LookupTable table) {
      this.table = table;
    }
  }

  /** What an answer depends on besides the table. */
  private record Key(ServiceName service, ImmutableList<Member> vms, KeyPrefix keyPrefix) {}

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
    Cache current = currentCache();
    Key key = new Key(service, current.table.find(callerAddress), keyPrefix);
    byte[] known = current.answers.get(key);
    if (known != null) {
      return Either.right(known);
    }
    byte[] written = write(key, manifest.get());
    if (current.answers.size() < MAX_CACHED_ANSWERS) {
      current.answers.put(key, written);
    }
    return Either.right(written);
  }

  private Cache currentCache() {
    LookupTable table = control.lookupTable();
    Cache current = cache.get();
    if (current.table != table) {
      current = new Cache(table);
      cache.set(current);
    }
    return current;
  }

  private byte[] write(Key key, Manifest manifest) {
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
