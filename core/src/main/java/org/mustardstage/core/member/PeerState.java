package org.mustardstage.core.member;

import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.member.MemberStatus.Liveness;

/** The state of the failure detector for another VM of the own zone. Owned by {@link ZonePeers}. */
final class PeerState {
  private Member member;
  private long lastContactNanos;
  private boolean hasBeenContacted;
  private boolean seenInList;
  private boolean removedFromList;
  private ConfigVersion configVersion = ConfigVersion.NONE;

  PeerState(Member member, long nowNanos) {
    this.member = member;
    this.lastContactNanos = nowNanos;
  }

  Member member() {
    return member;
  }

  ConfigVersion configVersion() {
    return configVersion;
  }

  boolean hasBeenContacted() {
    return hasBeenContacted;
  }

  void recordContact(long nowNanos) {
    hasBeenContacted = true;
    lastContactNanos = nowNanos;
  }

  void recordContact(long nowNanos, MemberMessage.Heartbeat heartbeat) {
    recordContact(nowNanos);
    this.configVersion = heartbeat.configVersion();
    if (heartbeat.leaving() && !member.leaving()) {
      member = member.asLeaving();
    }
    if (heartbeat.cutOff() != member.cutOff()) {
      member = member.withCutOff(heartbeat.cutOff());
    }
  }

  /** Records the release that the VM speaks; sources that don't know it say an earlier one. */
  void recordRelease(int release) {
    if (release > member.release()) {
      member = member.withRelease(release);
    }
  }

  void replaceMember(Member newerMember) {
    member = newerMember;
  }

  void markInList(Member entry) {
    seenInList = true;
    removedFromList = false;
    if (entry.leaving()) {
      member = member.asLeaving();
    }
  }

  void markMissingFromList() {
    removedFromList = seenInList;
  }

  long nanosSinceContact(long nowNanos) {
    return nowNanos - lastContactNanos;
  }

  boolean isProvenGone(long nowNanos, long goneAfterNanos) {
    return removedFromList && nanosSinceContact(nowNanos) > goneAfterNanos;
  }

  Liveness liveness(long nowNanos, long heartbeatIntervalNanos, MembershipSettings settings) {
    long contactAgeNanos = nanosSinceContact(nowNanos);
    if (contactAgeNanos > settings.deadAfterIntervals() * heartbeatIntervalNanos) {
      return Liveness.DEAD;
    }
    boolean late = contactAgeNanos > settings.suspectAfterIntervals() * heartbeatIntervalNanos;
    return late || !hasBeenContacted ? Liveness.SUSPECTED : Liveness.ALIVE;
  }
}
