package org.mustardstage.entry.gateway;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;

/** All services of one entry VM on a platform that describes deployments by routes. */
public final class GatewayProcess {
  /** What is left of the time for a stop when the process has to be gone. */
  private static final long EXIT_MARGIN_MILLIS = 500;

  /** The part of the time for a stop in which new requests are still carried. */
  private static final int SERVE_ON_PART = 3;

  private final GatewaySettings settings;
  private final GatewayControl control;
  private final GatewayServer server;

  /** Creates the services of the run {@code incarnationNumber} of the VM of {@code settings}. */
  public GatewayProcess(
      GatewaySettings settings, PlatformAdapter deployment, long incarnationNumber) {
    this.settings = settings;
    this.server = new GatewayServer(settings, deployment, new GatewayMetrics());
    this.control = new GatewayControl(settings, deployment, incarnationNumber, server);
  }

  /**
   * Starts everything.
   *
   * @throws IOException if an address can't be listened on
   */
  public void start() throws IOException {
    server.start(control);
    control.start();
    EventLog.log(
        Event.STARTED,
        "vm",
        settings.vm(),
        "zone",
        settings.zone(),
        "traffic",
        settings.callerAddress(),
        "jvmOptions",
        System.getenv().getOrDefault("JAVA_TOOL_OPTIONS", ""),
        "cpuMillis",
        ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() / 1_000_000);
  }

  /**
   * Stops gracefully: leaves the look-up answers, serves on for their lifetime, then refuses new
   * requests and lets running ones end, within the time that the settings allow.
   */
  public void stop() {
    long startedNanos = System.nanoTime();
    EventLog.log(Event.STOP_BEGAN, "vm", settings.vm());
    control.leave();
    sleep(Math.min(settings.answerLifetimeMillis(), settings.stopWithinMillis() / SERVE_ON_PART));
    server.refuseNew();
    long goneMillis = (System.nanoTime() - startedNanos) / 1_000_000;
    server.awaitQuiet(Math.max(0, settings.stopWithinMillis() - EXIT_MARGIN_MILLIS - goneMillis));
    server.stop();
    control.stop();
    EventLog.log(Event.STOPPED, "vm", settings.vm());
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
