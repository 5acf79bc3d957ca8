/**
 * The decision logic of the system as plain code, without I/O: events and the current time go in,
 * typed actions come out. Nothing here starts a thread, opens a socket, reads a clock or uses an
 * unseeded random generator.
 *
 * <p>Start with {@link org.mustardstage.core.manifest.Manifest}, the configuration, and {@link
 * org.mustardstage.core.member.Membership}, the set of entry VMs; the other packages decide on
 * permits, placement, overload, drains and moves.
 */
package org.mustardstage.core;
