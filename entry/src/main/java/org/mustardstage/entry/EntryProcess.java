package org.mustardstage.entry;

import java.io.IOException;
import org.mustardstage.entry.control.AdminServer;
import org.mustardstage.entry.control.CachingLookupHandler;
import org.mustardstage.entry.control.ControlThread;
import org.mustardstage.entry.control.MembershipKeyHomeLocator;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;
import org.mustardstage.entry.settings.ProcessSettings;
import org.mustardstage.entry.traffic.TrafficServer;

/** The process of one entry VM: the control thread, the traffic server and the admin server. */
public final class EntryProcess {
  private final ProcessSettings settings;
  private final ControlThread control;
  private final TrafficServer traffic;
  private final AdminServer admin;

  /** Creates the process of incarnation {@code incarnationNumber} of the VM in {@code settings}. */
  public EntryProcess(ProcessSettings settings, long incarnationNumber) {
    this.settings = settings;
    this.control = new ControlThread(settings, incarnationNumber);
    this.traffic =
        new TrafficServer(
            settings.traffic(),
            control::snapshot,
            control.admission(),
            new CachingLookupHandler(control),
            new MembershipKeyHomeLocator(control));
    this.admin = new AdminServer(control, settings.adminAddress());
  }

  /**
   * Starts the control thread and the servers.
   *
   * @throws IOException if a server can't listen on its address
   */
  public void start() throws IOException {
    control.start();
    admin.start();
    traffic.start();
    EventLog.log(
        Event.STARTED,
        "vm",
        control.snapshot().self(),
        "zone",
        settings.zone(),
        "traffic",
        settings.trafficAddress());
  }

  /**
   * Stops gracefully. The VM is removed from lookup responses and keeps serving until cached ones
   * have expired. Then running requests are completed, and permits and ownerships are handed over.
   */
  public void stop() {
    EventLog.log(Event.STOP_BEGAN, "vm", control.snapshot().self());
    control.leave();
    traffic.stop();
    admin.stop();
    control.stop();
    EventLog.log(Event.STOPPED, "vm", control.snapshot().self());
  }
}
