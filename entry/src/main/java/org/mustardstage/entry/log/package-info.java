/**
 * Structured logging of numbered events, as text or JSON lines on standard output.
 *
 * <p>The catalog of events is {@code docs/events.md}. Start with {@link
 * org.mustardstage.entry.log.EventLog}.
 */
package org.mustardstage.entry.log;
