package org.mustardstage.core.permit;

import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;

/**
 * The state of an entry VM, as the membership protocol reports it.
 *
 * @param vm the VM
 * @param zone its zone
 * @param alive whether it is believed alive
 * @param provenGone whether its process has surely ended: another incarnation uses its address, or
 *     the platform removed it from its VM list and it has been silent for longer than the longest
 *     lease and its margin
 */
public record ZoneMember(VmIncarnation vm, ZoneId zone, boolean alive, boolean provenGone) {}
