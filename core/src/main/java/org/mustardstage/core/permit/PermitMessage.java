package org.mustardstage.core.permit;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;

/**
 * What agents send each other. No message holds a clock time. A clock mark is a number that its
 * sender can turn into a time of its own clock, not after the sending of the message; a lease
 * passed to a VM is counted from the latest clock mark that was received from this VM.
 */
public sealed interface PermitMessage {
  /** Returns the clock mark of the sender. */
  long timestampId();

  /**
   * A lease of one permit.
   *
   * @param limit the limit of the permit
   * @param number the number of the permit
   * @param stamp grows with each lease and sublease of the permit
   * @param owner the owner that issued the lease
   * @param durationNanos the length of the lease
   */
  record LeasedPermit(
      LimitId limit, int number, long fencingToken, VmIncarnation owner, long durationNanos) {}

  /** Names a lease of one permit. */
  record LeaseId(LimitId limit, int number, long fencingToken) {}

  /**
   * One permit of a part that changes its owner.
   *
   * @param limit the limit of the permit
   * @param number the number of the permit
   * @param stamp the largest stamp issued
   * @param unusableNanos how long the permit is leased or may be in use
   */
  record HandedOverPermit(LimitId limit, int number, long fencingToken, long unusableNanos) {}

  /**
   * Asks for leases of permits of any of the limits.
   *
   * @param correlationId names the request; a later one from the same VM takes its place
   * @param clockMark the clock mark of the sender
   * @param limits the limits, the preferred one first
   * @param wanted how many permits are wanted by requests that wait
   * @param ahead how many more are wanted ahead of demand
   * @param durationNanos how long the leases must last
   * @param patienceNanos how long the request may wait
   */
  record LeaseRequest(
      long correlationId,
      long timestampId,
      List<LimitId> limits,
      int wanted,
      int prefetch,
      long durationNanos,
      long waitTimeoutNanos)
      implements PermitMessage {
    /** Copies the list. */
    public LeaseRequest {
      limits = ImmutableList.copyOf(limits);
    }
  }

  /** Takes back the waiting request for leases. */
  record LeaseWithdrawal(long correlationId, long timestampId) implements PermitMessage {}

  /**
   * Passes leases on; the sender has no right left to them.
   *
   * @param correlationId the request that is answered; 0 when idle permits go to their allocator
   * @param clockMark the clock mark of the sender
   * @param countedFromMark the clock mark of the receiver from which the durations are counted
   * @param permits the leases
   */
  record LeaseTransfer(
      long correlationId, long timestampId, long baseTimestampId, List<LeasedPermit> permits)
      implements PermitMessage {
    /** Copies the list. */
    public LeaseTransfer {
      permits = ImmutableList.copyOf(permits);
    }
  }

  /** Gives leases back to the owner; the sender has no right left to them. */
  record LeaseReturn(long timestampId, List<LeaseId> leases) implements PermitMessage {
    /** Copies the list. */
    public LeaseReturn {
      leases = ImmutableList.copyOf(leases);
    }
  }

  /** Asks the owner to prolong leases. */
  record LeaseRenewal(long timestampId, List<LeaseId> leases) implements PermitMessage {
    /** Copies the list. */
    public LeaseRenewal {
      leases = ImmutableList.copyOf(leases);
    }
  }

  /** Prolongs leases, counted from the clock mark of the renewal that is answered. */
  record LeaseRenewed(long timestampId, long baseTimestampId, List<LeasedPermit> permits)
      implements PermitMessage {
    /** Copies the list. */
    public LeaseRenewed {
      permits = ImmutableList.copyOf(permits);
    }
  }

  /** Requests wait at the sender for permits of the limits: idle ones go there for a while. */
  record PermitsWanted(long timestampId, List<LimitId> limits, long durationNanos)
      implements PermitMessage {
    /** Copies the list. */
    public PermitsWanted {
      limits = ImmutableList.copyOf(limits);
    }
  }

  /** Asks whether the ownership list of a zone still has the revision. */
  record ConfirmOwnership(long correlationId, long timestampId, ZoneId zone, long revision)
      implements PermitMessage {}

  /** Confirms that the sender knows of no newer revision of the ownership list. */
  record OwnershipConfirmed(long correlationId, long timestampId, ZoneId zone, long revision)
      implements PermitMessage {}

  /** Tells of the ownership list of a zone. */
  record OwnershipAdvertised(
      long timestampId, ZoneId zone, long revision, List<VmIncarnation> owners)
      implements PermitMessage {
    /** Copies the list. */
    public OwnershipAdvertised {
      owners = ImmutableList.copyOf(owners);
    }
  }

  /**
   * Tells the new owner of parts what it needs to use them at once.
   *
   * @param handoverId names the handover
   * @param clockMark the clock mark of the sender
   * @param zone the zone
   * @param expectedRevision the revision of the list which the change replaced
   * @param parts the parts
   * @param permits the permits of the parts
   */
  record Handover(
      long handoverId,
      long timestampId,
      ZoneId zone,
      long expectedRevision,
      List<Integer> parts,
      List<HandedOverPermit> permits)
      implements PermitMessage {
    /** Copies the lists. */
    public Handover {
      parts = ImmutableList.copyOf(parts);
      permits = ImmutableList.copyOf(permits);
    }
  }

  /** Confirms the receipt of a handover. */
  record HandoverReceived(long handoverId, long timestampId) implements PermitMessage {}

  /** The sender is stopping: it is to get no parts and no idle permits. */
  record StopAnnounced(long timestampId) implements PermitMessage {}
}
