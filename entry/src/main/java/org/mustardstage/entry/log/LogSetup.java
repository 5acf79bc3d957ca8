package org.mustardstage.entry.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.LoggerFactory;

/** Configures logging of a process to standard output, as text or JSON lines. */
public final class LogSetup {
  private static final String PATTERN =
      "%d{yyyy-MM-dd'T'HH:mm:ss.SSS} %-5level %thread %logger %msg %kvp{NONE}%n";

  private LogSetup() {}

  /** Logs JSON or text lines at {@code level} and above; logging threads wait for the output. */
  public static void configure(boolean json, String level) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setEncoder(json ? jsonEncoder(context) : textEncoder(context));
    appender.start();
    Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.WARN);
    root.addAppender(appender);
    context.getLogger("mustardstage").setLevel(Level.toLevel(level));
  }

  /**
   * Logs JSON lines at {@code level} and above without blocking the logging threads. Lines are
   * dropped when the output is too slow.
   */
  public static void configureNonBlocking(String level) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    BatchingAppender appender = new BatchingAppender(System.out);
    appender.setContext(context);
    appender.start();
    Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.WARN);
    root.addAppender(appender);
    context.getLogger("mustardstage").setLevel(Level.toLevel(level));
  }

  /** Changes the minimum level that is logged. */
  public static void setLevel(String level) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.getLogger("mustardstage").setLevel(Level.toLevel(level));
  }

  /** Stops logging and writes all buffered lines. */
  public static void flush() {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.stop();
  }

  private static Encoder<ILoggingEvent> jsonEncoder(LoggerContext context) {
    JsonEncoder encoder = new JsonEncoder();
    encoder.setContext(context);
    encoder.start();
    return encoder;
  }

  private static Encoder<ILoggingEvent> textEncoder(LoggerContext context) {
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    encoder.setPattern(PATTERN);
    encoder.start();
    return encoder;
  }
}
