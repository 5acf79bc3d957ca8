package org.mustardstage.core.permit;

/**
 * Counts of the state of one agent, for status reports and metrics.
 *
 * @param listRevision the revision of the ownership list of the zone of this VM
 * @param ownershipConfirmed whether owned permits may be used and leased
 * @param partsOwned the parts that this VM owns
 * @param permitsOwned the permits of these parts
 * @param permitsLeasedOut the owned permits that are leased out
 * @param permitsUnusable the owned permits that are blocked until unknown uses or leases have ended
 * @param permitsLeasedIn the permits held by lease
 * @param permitsIdle the permits held here that no request uses
 * @param permitsInUse the permits that requests of this VM use
 * @param requestsWaiting the queued requests of this VM
 * @param peerRequestsWaiting the queued lease requests of other VMs
 * @param granted the requests granted since the start
 * @param rejected the requests rejected since the start
 * @param messagesSent the messages sent since the start
 * @param messagesReceived the messages received since the start
 */
public record PermitStatus(
    long listRevision,
    boolean ownershipConfirmed,
    int partsOwned,
    int permitsOwned,
    int permitsLeasedOut,
    int permitsUnusable,
    int permitsLeasedIn,
    int permitsIdle,
    int permitsInUse,
    int requestsWaiting,
    int peerRequestsWaiting,
    long granted,
    long rejected,
    long messagesSent,
    long messagesReceived) {}
