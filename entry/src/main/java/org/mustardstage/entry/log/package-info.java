/** Numbered log events. The catalogue is {@code docs/events.md}. */
package org.mustardstage.entry.log;
