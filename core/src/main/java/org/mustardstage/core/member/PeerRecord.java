package org.mustardstage.core.member;

import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.member.MemberStatus.Liveness;

/** What is known of another VM of the own zone. Owned by {@link ZonePeers}. */
final class PeerRecord {
  private Member member;
  private long lastHeardNanos;
  private boolean everHeard;
  private boolean listed;
  private boolean droppedFromList;
  private ConfigVersion version = ConfigVersion.NONE;

  PeerRecord(Member member, long nowNanos) {
    this.member = member;
    this.lastHeardNanos = nowNanos;
  }

  Member member() {
    return member;
  }

  ConfigVersion version() {
    return version;
  }

  boolean everHeard() {
    return everHeard;
  }

  void hear(long nowNanos) {
    everHeard = true;
    lastHeardNanos = nowNanos;
  }

  void hear(long nowNanos, boolean leaving, ConfigVersion version) {
    hear(nowNanos);
    this.version = version;
    if (leaving && !member.leaving()) {
      member = member.asLeaving();
    }
  }

  void update(Member newer) {
    member = newer;
  }

  void markListed(Member entry) {
    listed = true;
    droppedFromList = false;
    if (entry.leaving()) {
      member = member.asLeaving();
    }
  }

  void markUnlisted() {
    droppedFromList = listed;
  }

  long silentNanos(long nowNanos) {
    return nowNanos - lastHeardNanos;
  }

  boolean provenGone(long nowNanos, long goneAfterNanos) {
    return droppedFromList && silentNanos(nowNanos) > goneAfterNanos;
  }

  Liveness liveness(long nowNanos, long periodNanos, MembershipSettings settings) {
    long silentNanos = silentNanos(nowNanos);
    if (silentNanos > settings.deadAfterPeriods() * periodNanos) {
      return Liveness.DEAD;
    }
    boolean late = silentNanos > settings.suspectAfterPeriods() * periodNanos;
    return late || !everHeard ? Liveness.SUSPECTED : Liveness.ALIVE;
  }
}
