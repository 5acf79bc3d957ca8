package org.mustardstage.core.hedge;

/**
 * How busy a service is, as one VM sees it.
 *
 * @param slots the slots of the endpoints that a request may use
 * @param busySlots how many of these are in use, or wanted by requests that wait at endpoints
 * @param queued the requests that wait for a slot at this VM
 */
public record SlotUse(int slots, int busySlots, int queued) {}
