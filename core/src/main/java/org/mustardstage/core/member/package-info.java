/**
 * Membership: which entry VMs exist and which of them are believed alive.
 *
 * <p>Heartbeats, the platform's list of entry VMs and the current time go in; messages to send and
 * a {@link org.mustardstage.core.member.MemberView} come out. Start with {@link
 * org.mustardstage.core.member.Membership}.
 */
package org.mustardstage.core.member;
