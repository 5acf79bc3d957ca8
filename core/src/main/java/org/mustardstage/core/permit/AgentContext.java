package org.mustardstage.core.permit;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;

/** What the parts of one agent share. */
final class AgentContext {
  private static final int MARK_SHIFT_BITS = 16;

  final PermitSettings settings;
  final PermitGuards guards;
  final VmIncarnation self;
  final ZoneId zone;
  final RandomGenerator random;
  final Members members;
  final ClockMarks marks;
  final Outbox outbox = new Outbox();
  final PermitTable table = new PermitTable();
  private final Map<ZoneId, DemandMeter> remoteDemand = new HashMap<>();

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
    this.members = new Members(self, zone);
    this.marks = new ClockMarks(random.nextLong() >>> MARK_SHIFT_BITS);
  }

  /** Returns the time from half to one and a half of {@code nanos}. */
  long jitter(long nanos) {
    return nanos / 2 + random.nextLong(Math.max(1, nanos));
  }

  /** Counts a use of a permit, if its zone is another one. */
  void countUse(ZoneId limitZone, long nowNanos) {
    if (!limitZone.equals(zone)) {
      remoteDemand.computeIfAbsent(limitZone, key -> new DemandMeter()).count(nowNanos);
    }
  }

  /** Returns the uses a second of permits of another zone. */
  double remoteUsesPerSecond(ZoneId limitZone, long nowNanos) {
    DemandMeter demand = remoteDemand.get(limitZone);
    return demand == null ? 0 : demand.perSecond(nowNanos);
  }
}
