/**
 * Exchanges messages between entry VMs as length-prefixed MessagePack frames over TCP. {@link
 * org.mustardstage.entry.peer.PeerNetwork} opens, accepts and closes the links, sends messages and
 * passes received ones to its receiver; {@link org.mustardstage.entry.peer.PeerMessage} lists the
 * messages.
 */
package org.mustardstage.entry.peer;
