package org.mustardstage.standins.endpoint;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.mustardstage.schema.generated.EndpointRecord;

/** Remembers everything that an endpoint ran. */
final class RunRecord {
  private final Map<String, Long> runsByKey = new TreeMap<>();
  private final Map<String, Long> runsByToken = new TreeMap<>();
  private final Set<String> requestIds = new LinkedHashSet<>();
  private long completed;
  private long refused;
  private long cancelled;
  private long expired;
  private long refusedConnections;
  private long lastStartMillis;
  private long lastEndMillis;

  void recordStart(EndpointRequest request, long nowMillis) {
    requestIds.add(request.requestId());
    request.idempotencyKey().ifPresent(key -> runsByKey.merge(key, 1L, Long::sum));
    request.token().ifPresent(token -> runsByToken.merge(token, 1L, Long::sum));
    lastStartMillis = nowMillis;
  }

  void recordEnd(RunResult end, long nowMillis) {
    lastEndMillis = nowMillis;
    switch (end) {
      case COMPLETED -> completed++;
      case CANCELLED -> cancelled++;
      case EXPIRED -> expired++;
    }
  }

  void refused() {
    refused++;
  }

  void refusedConnection() {
    refusedConnections++;
  }

  boolean hasRun(String requestId) {
    return requestIds.contains(requestId);
  }

  EndpointRecord toMessage(String endpoint, SlotUsage meter) {
    return new EndpointRecord()
        .withEndpoint(endpoint)
        .withMaxSlotsInUse(meter.maxSlotsNeeded())
        .withSlots((long) meter.slots())
        .withOverloadViolations(meter.arrivalsWithoutSlot())
        .withCompleted(completed)
        .withRefused(refused)
        .withCancelled(cancelled)
        .withExpired(expired)
        .withRefusedConnections(refusedConnections)
        .withLastRunStartMillis(lastStartMillis)
        .withLastRunEndMillis(lastEndMillis)
        .withRunsByKey(runsByKey)
        .withRunsByToken(runsByToken)
        .withRunRequestIds(new ArrayList<>(requestIds));
  }
}
