package org.mustardstage.standins.endpoint;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.mustardstage.schema.generated.EndpointRecord;

/** Records every run of an endpoint, and counts results and rejections. */
final class RunRecord {
  private final Map<String, Long> runsByKey = new TreeMap<>();
  private final Map<String, Long> runsByToken = new TreeMap<>();
  private final Set<String> requestIds = new LinkedHashSet<>();
  private long completed;
  private long rejected;
  private long cancelled;
  private long expired;
  private long refusedConnections;
  private long lastRunStartMillis;
  private long lastRunEndMillis;

  void recordStart(EndpointRequest request, long nowMillis) {
    requestIds.add(request.requestId());
    request.idempotencyKey().ifPresent(key -> runsByKey.merge(key, 1L, Long::sum));
    request.token().ifPresent(token -> runsByToken.merge(token, 1L, Long::sum));
    lastRunStartMillis = nowMillis;
  }

  void recordEnd(RunResult result, long nowMillis) {
    lastRunEndMillis = nowMillis;
    switch (result) {
      case COMPLETED -> completed++;
      case CANCELLED -> cancelled++;
      case EXPIRED -> expired++;
    }
  }

  void recordRejection() {
    rejected++;
  }

  void recordRefusedConnection() {
    refusedConnections++;
  }

  boolean hasRun(String requestId) {
    return requestIds.contains(requestId);
  }

  EndpointRecord toMessage(String endpoint, SlotUsage slotUsage) {
    return new EndpointRecord()
        .withEndpoint(endpoint)
        .withMaxSlotsInUse(slotUsage.maxSlotsNeeded())
        .withSlots((long) slotUsage.slots())
        .withOverloadViolations(slotUsage.arrivalsWithoutSlot())
        .withCompleted(completed)
        .withRefused(rejected)
        .withCancelled(cancelled)
        .withExpired(expired)
        .withRefusedConnections(refusedConnections)
        .withLastRunStartMillis(lastRunStartMillis)
        .withLastRunEndMillis(lastRunEndMillis)
        .withRunsByKey(runsByKey)
        .withRunsByToken(runsByToken)
        .withRunRequestIds(new ArrayList<>(requestIds));
  }
}
