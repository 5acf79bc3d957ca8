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
 * Writes one JSON object a line, several lines at a time, from a thread of its own. The threads
 * that log never wait for the output: what it doesn't take in time is dropped and counted.
 */
final class BatchingAppender extends AppenderBase<ILoggingEvent> {
  /** Lines reach the output this much later at most; a kill loses those of this time. */
  private static final Duration FLUSH_EVERY = Duration.ofMillis(200);

  private static final int MAX_HELD_BYTES = 256 << 10;

  private final PrintStream output;
  private final Object lock = new Object();
  private ByteArrayOutputStream held = new ByteArrayOutputStream();
  private long dropped;

  BatchingAppender(PrintStream output) {
    this.output = output;
  }

  @Override
  public void start() {
    super.start();
    Thread flusher = new Thread(this::flushAgainAndAgain, "log");
    flusher.setDaemon(true);
    flusher.start();
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
      if (held.size() + line.length > MAX_HELD_BYTES) {
        dropped++;
        return;
      }
      held.writeBytes(line);
    }
  }

  private void flushAgainAndAgain() {
    while (isStarted()) {
      try {
        Thread.sleep(FLUSH_EVERY);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
      flush();
    }
  }

  private void flush() {
    byte[] lines;
    long lost;
    synchronized (lock) {
      if (held.size() == 0) {
        return;
      }
      lines = held.toByteArray();
      held = new ByteArrayOutputStream();
      lost = dropped;
      dropped = 0;
    }
    output.write(lines, 0, lines.length);
    if (lost > 0) {
      output.println("{\"name\":\"LOG_LINES_DROPPED\",\"count\":" + lost + "}");
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
      appendTop(line, event);
    }
    return line.append("}\n").toString();
  }

  /** Appends where the exception came from; the top frame is enough to find it. */
  private static void appendTop(StringBuilder line, ILoggingEvent event) {
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
