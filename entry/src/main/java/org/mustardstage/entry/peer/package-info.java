/** Connections between entry VMs: frames of MessagePack over TCP. */
package org.mustardstage.entry.peer;
