package org.mustardstage.entry.gateway;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import org.mustardstage.core.drain.StopSchedule;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;

/**
 * Starts and stops the control and traffic threads of one entry VM, on a platform that describes
 * deployments by routes.
 */
public final class GatewayProcess {
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
    server.setColdnessListener(control::onEndpointColdness);
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
   * Stops gracefully: leaves the lookup responses, keeps serving for their lifetime what ends
   * before the exit, then rejects all new requests and waits for those in flight, within the time
   * that the settings allow. Requests that have not ended by then get an error.
   */
  public void stop() {
    StopSchedule schedule =
        StopSchedule.startingAt(
            System.nanoTime(),
            Duration.ofMillis(settings.answerLifetimeMillis()),
            Duration.ofMillis(settings.stopWithinMillis()));
    EventLog.log(Event.STOP_BEGAN, "vm", settings.vm());
    server.beginStop(schedule);
    control.leave();
    sleep(schedule.serveTime().toMillis());
    server.rejectNewRequests();
    server.awaitIdle(schedule.untilExit(System.nanoTime()).toMillis());
    server.endRequests();
    server.awaitIdle(StopSchedule.LAST_ANSWERS_TIME.toMillis());
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
