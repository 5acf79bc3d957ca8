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

/** Sets up the log of a process: text or JSON lines on standard output. */
public final class LogSetup {
  private static final String PATTERN =
      "%d{yyyy-MM-dd'T'HH:mm:ss.SSS} %-5level %thread %logger %msg %kvp{NONE}%n";

  private LogSetup() {}

  /** Sets the format and the least important level that is logged. */
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
   * Sets up JSON lines that never hold up the threads that log: what the output can't take in time
   * is dropped.
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

  /** Sets the least important level that is logged. */
  public static void setLevel(String level) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.getLogger("mustardstage").setLevel(Level.toLevel(level));
  }

  /** Writes what still waits. */
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
