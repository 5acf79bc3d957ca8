/**
 * The control thread, which owns all mutable control state of an entry VM.
 *
 * <p>Input is messages from other entry VMs, reads from the platform, submissions by operators, and
 * the admission requests and attempt reports of traffic threads. From these it decides which
 * configuration is active, which members are alive, and which request may be sent to which
 * endpoint. Output is admission decisions, the published {@link
 * org.mustardstage.entry.control.Snapshot}, lookup table and member view, and messages and writes
 * to other entry VMs and the platform. Start with {@link
 * org.mustardstage.entry.control.ControlThread}.
 */
package org.mustardstage.entry.control;
