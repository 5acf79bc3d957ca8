package org.mustardstage.core.permit;

/**
 * Counts of one agent, for status and metrics.
 *
 * @param listRevision the revision of the ownership list of the own zone
 * @param ownershipConfirmed whether owned permits may be used and leased
 * @param partsOwned the parts that this VM owns
 * @param permitsOwned the permits of these parts
 * @param permitsLeasedOut the owned permits that are leased
 * @param permitsUnusable the owned permits that wait for the end of uses or leases not known
 * @param permitsLeasedIn the permits held by lease
 * @param permitsIdle the permits at hand that nobody uses
 * @param permitsInUse the permits used by requests of this VM
 * @param requestsWaiting the requests of this VM that wait
 * @param peerRequestsWaiting the requests of other VMs that wait here
 * @param granted the requests granted since the start
 * @param notGranted the requests not granted since the start
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
