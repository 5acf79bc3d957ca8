/**
 * The decisions of the system as plain code: events and the current time go in, typed actions come
 * out. Nothing here starts a thread, opens a socket, reads a clock or uses an unseeded generator.
 */
package org.mustardstage.core;
