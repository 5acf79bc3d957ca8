package org.mustardstage.entry.gateway;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;

/**
 * Starts and stops the control and traffic threads of one entry VM, on a platform that describes
 * deployments by routes.
 */
public final class GatewayProcess {
  /** Subtracted from the time for a stop, so that the process has exited when that ends. */
  private static final long EXIT_MARGIN_MILLIS = 500;

  /**
   * New requests are served for at most this fraction (one third) of the time for a stop, so that
   * the rest remains for requests in flight.
   */
  private static final int SERVE_TIME_DIVISOR = 3;

  private final GatewaySettings settings;
  private final GatewayControl control;
  private final GatewayServer server;

  /** Creates the process of incarnation {@code incarnationNumber} of the VM of {@code settings}. */
  public GatewayProcess(GatewaySettings settings, PlatformAdapter adapter, long incarnationNumber) {
    this.settings = settings;
    this.server = new GatewayServer(settings, adapter, new GatewayMetrics());
    this.control = new GatewayControl(settings, adapter, incarnationNumber, server);
    server.setKeyCheck(control::acceptsKeys);
    server.setLeavingListener(control::onEndpointLeaving);
    server.setLimitListener(control::onEndpointLimit);
    server.setCrashListener(control);
    server.setQuotaSender(control::sendQuotaMessages);
    server.setCutOffListener(control::setCutOff);
  }

  /**
   * Starts the traffic and control threads.
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
   * Stops gracefully: leaves the lookup responses, keeps serving for their lifetime, then rejects
   * new requests and waits for those in flight, within the time that the settings allow.
   */
  public void stop() {
    long startedNanos = System.nanoTime();
    EventLog.log(Event.STOP_BEGAN, "vm", settings.vm());
    control.leave();
    sleep(
        Math.min(
            settings.answerLifetimeMillis(), settings.stopWithinMillis() / SERVE_TIME_DIVISOR));
    server.rejectNewRequests();
    long elapsedMillis = (System.nanoTime() - startedNanos) / 1_000_000;
    server.awaitIdle(Math.max(0, settings.stopWithinMillis() - EXIT_MARGIN_MILLIS - elapsedMillis));
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
