package org.mustardstage.core.permit;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;

/** State and settings that the components of one {@link PermitAgent} share. */
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

  /** Returns a random duration between half and one and a half times {@code nanos}. */
  long jitter(long nanos) {
    return nanos / 2 + random.nextLong(Math.max(1, nanos));
  }

  /** Records that a permit is granted, if its limit belongs to another zone than this VM. */
  void recordRemoteUse(ZoneId limitZone, long nowNanos) {
    if (!limitZone.equals(zone)) {
      remoteUseRates.computeIfAbsent(limitZone, key -> new DecayingRate()).increment(nowNanos);
    }
  }

  /** Returns how many permits of another zone this VM grants per second. */
  double remoteUsesPerSecond(ZoneId limitZone, long nowNanos) {
    DecayingRate rate = remoteUseRates.get(limitZone);
    return rate == null ? 0 : rate.perSecond(nowNanos);
  }
}
