package org.mustardstage.entry.log;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.slf4j.event.KeyValuePair;

/**
 * Writes log events as JSON lines, in batches, from a separate thread, so that logging threads
 * never block on the output. Lines that don't fit into the buffer are dropped and counted.
 */
final class BatchingAppender extends AppenderBase<ILoggingEvent> {
  /** The longest delay before a line is written; a killed process loses the lines not written. */
  private static final Duration FLUSH_INTERVAL = Duration.ofMillis(200);

  private static final int MAX_BUFFERED_BYTES = 256 << 10;

  private final PrintStream output;
  private final Object lock = new Object();
  private ByteArrayOutputStream buffer = new ByteArrayOutputStream();
  private long dropped;

  BatchingAppender(PrintStream output) {
    this.output = output;
  }

  @Override
  public void start() {
    super.start();
    Thread flushThread = new Thread(this::flushPeriodically, "log");
    flushThread.setDaemon(true);
    flushThread.start();
  }

  @Override
  public void stop() {
    super.stop();
    flush();
  }

  @Override
  protected void append(ILoggingEvent event) {
    byte[] line = format(event).getBytes(StandardCharsets.UTF_8);
    synchronized (lock) {
      if (buffer.size() + line.length > MAX_BUFFERED_BYTES) {
        dropped++;
        return;
      }
      buffer.writeBytes(line);
    }
  }

  private void flushPeriodically() {
    while (isStarted()) {
      try {
        Thread.sleep(FLUSH_INTERVAL);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
      flush();
    }
  }

  private void flush() {
    byte[] lines;
    long droppedLines;
    synchronized (lock) {
      if (buffer.size() == 0) {
        return;
      }
      lines = buffer.toByteArray();
      buffer = new ByteArrayOutputStream();
      droppedLines = dropped;
      dropped = 0;
    }
    output.write(lines, 0, lines.length);
    if (droppedLines > 0) {
      output.println("{\"name\":\"LOG_LINES_DROPPED\",\"count\":" + droppedLines + "}");
    }
    output.flush();
  }

  static String format(ILoggingEvent event) {
    StringBuilder line = new StringBuilder(256);
    line.append("{\"timeMillis\":").append(event.getTimeStamp());
    line.append(",\"level\":\"").append(event.getLevel()).append("\",\"name\":");
    quote(line, event.getMessage());
    List<KeyValuePair> pairs = event.getKeyValuePairs();
    if (pairs != null) {
      for (KeyValuePair pair : pairs) {
        line.append(',');
        quote(line, pair.key);
        line.append(':');
        appendValue(line, pair.value);
      }
    }
    if (event.getThrowableProxy() != null) {
      line.append(",\"exception\":");
      quote(
          line,
          event.getThrowableProxy().getClassName() + ": " + event.getThrowableProxy().getMessage());
      appendTopFrame(line, event);
    }
    return line.append("}\n").toString();
  }

  /** Appends the top stack frame, which is enough to locate the cause of the exception. */
  private static void appendTopFrame(StringBuilder line, ILoggingEvent event) {
    var frames = event.getThrowableProxy().getStackTraceElementProxyArray();
    if (frames.length > 0) {
      line.append(",\"at\":");
      quote(line, frames[0].getSTEAsString());
    }
  }

  private static void appendValue(StringBuilder line, Object value) {
    if (value instanceof Number || value instanceof Boolean) {
      line.append(value);
      return;
    }
    quote(line, String.valueOf(value));
  }

  private static void quote(StringBuilder line, String text) {
    line.append('"');
    JsonStringEncoder.getInstance().quoteAsString(text, line);
    line.append('"');
  }
}
