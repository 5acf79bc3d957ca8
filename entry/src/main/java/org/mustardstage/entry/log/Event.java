package org.mustardstage.entry.log;

import org.slf4j.event.Level;

/** The events that are logged, each with a number that is never used again. */
public enum Event {
  /** The process has started. */
  STARTED(1, Level.INFO),
  /** A graceful stop has begun. */
  STOP_BEGAN(2, Level.INFO),
  /** The process has stopped. */
  STOPPED(3, Level.INFO),
  /** The process could not start. */
  START_FAILED(4, Level.ERROR),
  /** A graceful stop took too long and was cut short. */
  STOP_CUT_SHORT(5, Level.ERROR),
  /** The settings were read anew. */
  SETTINGS_RELOADED(6, Level.INFO),
  /** A manifest is in force. */
  MANIFEST_IN_FORCE(10, Level.INFO),
  /** A manifest was accepted. */
  MANIFEST_ACCEPTED(11, Level.INFO),
  /** A submission was refused. */
  SUBMISSION_REFUSED(12, Level.WARN),
  /** A manifest could not be fetched. */
  MANIFEST_FETCH_FAILED(13, Level.WARN),
  /** A fetched manifest is not valid. */
  MANIFEST_INVALID(14, Level.ERROR),
  /** A version of the routes is in force. */
  CONFIG_IN_FORCE(15, Level.INFO),
  /** A row of the platform's store can't be read. */
  ROW_UNREADABLE(16, Level.WARN),
  /** The zones to evacuate have changed. */
  EVACUATIONS_CHANGED(17, Level.INFO),
  /** The platform does not answer. */
  PLATFORM_LOST(20, Level.WARN),
  /** The platform answers again. */
  PLATFORM_BACK(21, Level.INFO),
  /** The view of the members has changed. */
  MEMBERS_CHANGED(30, Level.INFO),
  /** A link to another VM is open. */
  LINK_OPENED(31, Level.DEBUG),
  /** A link to another VM is closed. */
  LINK_CLOSED(32, Level.DEBUG),
  /** A frame from another VM was not understood. */
  BAD_FRAME(33, Level.WARN),
  /** A link has gone silent and is replaced. */
  LINK_SILENT(34, Level.WARN),
  /** Another run of this VM with a higher number exists. */
  NEWER_INCARNATION_SEEN(35, Level.ERROR),
  /** The ownership list has changed. */
  OWNERSHIP_CHANGED(40, Level.INFO),
  /** A change of the ownership list has ended. */
  OWNERSHIP_PROPOSAL_ENDED(41, Level.DEBUG),
  /** All permits and ownerships are handed over. */
  HANDOVER_DONE(42, Level.INFO),
  /** An endpoint gets no new work. */
  ENDPOINT_LEAVING(50, Level.INFO),
  /** An endpoint takes work again. */
  ENDPOINT_BACK(51, Level.INFO),
  /** An endpoint has registered itself, or started anew. */
  ENDPOINT_REGISTERED(52, Level.INFO),
  /** A request has its answer. */
  REQUEST_ENDED(60, Level.INFO),
  /** An unexpected exception was caught on the control thread. */
  CONTROL_FAULT(90, Level.ERROR);

  private final int number;
  private final Level level;

  Event(int number, Level level) {
    this.number = number;
    this.level = level;
  }

  /** Returns the number of the event. */
  public int number() {
    return number;
  }

  /** Returns the level that the event is logged at. */
  public Level level() {
    return level;
  }

  /** Returns the code of the event as it stands in the log, such as {@code MS0010}. */
  public String code() {
    return String.format("MS%04d", number);
  }
}
