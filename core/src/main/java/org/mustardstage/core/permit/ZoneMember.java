package org.mustardstage.core.permit;

import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;

/**
 * What is believed of an entry VM.
 *
 * @param vm the VM
 * @param zone its zone
 * @param alive whether it is believed alive
 * @param provenGone whether it surely runs no more: another incarnation stands at its address, or
 *     the platform dropped it from its list and it has been silent for longer than the longest
 *     lease and its margin
 */
public record ZoneMember(VmIncarnation vm, ZoneId zone, boolean alive, boolean provenGone) {}
