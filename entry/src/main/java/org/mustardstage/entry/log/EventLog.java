package org.mustardstage.entry.log;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/** Logs events as structured records with key-value fields. */
public final class EventLog {
  private static final Logger LOGGER = LoggerFactory.getLogger("mustardstage");

  private EventLog() {}

  /**
   * Logs {@code event} if its level is enabled.
   *
   * @param fields alternating field names and values
   */
  public static void log(Event event, Object... fields) {
    if (LOGGER.isEnabledForLevel(event.level())) {
      builder(event, fields).log(event.name());
    }
  }

  /** Logs {@code event} with the exception that caused it. */
  public static void log(Event event, Throwable cause, Object... fields) {
    if (LOGGER.isEnabledForLevel(event.level())) {
      builder(event, fields).setCause(cause).log(event.name());
    }
  }

  private static LoggingEventBuilder builder(Event event, Object... fields) {
    LoggingEventBuilder builder = LOGGER.atLevel(event.level()).addKeyValue("event", event.code());
    for (int i = 0; i + 1 < fields.length; i += 2) {
      builder = builder.addKeyValue(String.valueOf(fields[i]), fields[i + 1]);
    }
    return builder;
  }
}
