package org.mustardstage.core.permit;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;

/** What the parts of one agent share. */
final class AgentContext {
  private static final int TIMESTAMP_ID_SHIFT_BITS = 16;

  final PermitSettings settings;
  final PermitGuards guards;
  final VmIncarnation self;
  final ZoneId zone;
  final RandomGenerator random;
  final Membership membership;
  final TimestampRegistry timestamps;
  final ActionBuffer actions = new ActionBuffer();
  final LimitTable limits = new LimitTable();
  private final Map<ZoneId, DecayingRate> remoteUseRates = new HashMap<>();

  AgentContext(
      PermitSettings settings,
      VmIncarnation self,
      ZoneId zone,
      RandomGenerator random,
      PermitGuards guards) {
    this.settings = settings;
    this.guards = guards;
    this.self = self;
    this.zone = zone;
    this.random = random;
    this.membership = new Membership(self, zone);
    this.timestamps = new TimestampRegistry(random.nextLong() >>> TIMESTAMP_ID_SHIFT_BITS);
  }

  /** Returns the time from half to one and a half of {@code nanos}. */
  long jitter(long nanos) {
    return nanos / 2 + random.nextLong(Math.max(1, nanos));
  }

  /** Counts a use of a permit, if its zone is another one. */
  void recordRemoteUse(ZoneId limitZone, long nowNanos) {
    if (!limitZone.equals(zone)) {
      remoteUseRates.computeIfAbsent(limitZone, key -> new DecayingRate()).record(nowNanos);
    }
  }

  /** Returns the uses a second of permits of another zone. */
  double remoteUsesPerSecond(ZoneId limitZone, long nowNanos) {
    DecayingRate demand = remoteUseRates.get(limitZone);
    return demand == null ? 0 : demand.perSecond(nowNanos);
  }
}
