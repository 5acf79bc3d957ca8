package org.mustardstage.entry.log;

import org.slf4j.event.Level;

/** The events that are logged, each with a unique number that is never reused. */
public enum Event {
  /** The process has started. */
  STARTED(1, Level.INFO),
  /** A graceful stop has begun. */
  STOP_BEGAN(2, Level.INFO),
  /** The process has stopped. */
  STOPPED(3, Level.INFO),
  /** The process failed to start. */
  START_FAILED(4, Level.ERROR),
  /** A graceful stop exceeded its time limit and was ended early. */
  STOP_CUT_SHORT(5, Level.ERROR),
  /** The settings were reloaded. */
  SETTINGS_RELOADED(6, Level.INFO),
  /** A manifest became the active configuration. */
  MANIFEST_IN_FORCE(10, Level.INFO),
  /** A submitted manifest was accepted. */
  MANIFEST_ACCEPTED(11, Level.INFO),
  /** A submission was rejected or its result is unknown. */
  SUBMISSION_REFUSED(12, Level.WARN),
  /** The objects of a manifest could not be fetched. */
  MANIFEST_FETCH_FAILED(13, Level.WARN),
  /** A fetched manifest is not valid. */
  MANIFEST_INVALID(14, Level.ERROR),
  /** A gateway configuration version became active. */
  CONFIG_IN_FORCE(15, Level.INFO),
  /** A row in the platform's store could not be parsed. */
  ROW_UNREADABLE(16, Level.WARN),
  /** The set of zones to evacuate changed. */
  EVACUATIONS_CHANGED(17, Level.INFO),
  /** The platform stopped responding. */
  PLATFORM_LOST(20, Level.WARN),
  /** The platform responds again. */
  PLATFORM_BACK(21, Level.INFO),
  /** The platform's store was restored from an older copy and entered a new era. */
  STORE_RESTORED(22, Level.WARN),
  /** The membership view changed. */
  MEMBERS_CHANGED(30, Level.INFO),
  /** A link to another VM was opened. */
  LINK_OPENED(31, Level.DEBUG),
  /** A link to another VM was closed. */
  LINK_CLOSED(32, Level.DEBUG),
  /** A frame from another VM was malformed or unexpected. */
  BAD_FRAME(33, Level.WARN),
  /** A link received nothing for too long and is replaced. */
  LINK_SILENT(34, Level.WARN),
  /** A process with the same VM name and a higher incarnation number exists. */
  NEWER_INCARNATION_SEEN(35, Level.ERROR),
  /** This VM took a larger incarnation number, as others know it under one that is not smaller. */
  RENUMBERED(36, Level.WARN),
  /** The ownership list of a zone changed. */
  OWNERSHIP_CHANGED(40, Level.INFO),
  /** A proposed change of an ownership list was committed, rejected or failed. */
  OWNERSHIP_PROPOSAL_ENDED(41, Level.DEBUG),
  /** All permits and ownerships were handed over to other VMs. */
  HANDOVER_DONE(42, Level.INFO),
  /** An endpoint is draining and gets no new requests. */
  ENDPOINT_LEAVING(50, Level.INFO),
  /** An endpoint is no longer draining and gets requests again. */
  ENDPOINT_BACK(51, Level.INFO),
  /** An endpoint registered for the first time or after a restart. */
  ENDPOINT_REGISTERED(52, Level.INFO),
  /** A header of an endpoint's response can't be read. */
  BAD_ENDPOINT_HEADER(53, Level.WARN),
  /** The table of endpoints was read for the first time since the start. */
  ENDPOINTS_LOADED(54, Level.INFO),
  /** An endpoint named a limit on its requests, changed it or ended it. */
  ENDPOINT_LIMIT_CHANGED(55, Level.INFO),
  /** No endpoint answers on new connections of this VM any more. */
  ENDPOINTS_CUT_OFF(56, Level.WARN),
  /** Endpoints answer on new connections of this VM again. */
  ENDPOINTS_REACHED_AGAIN(57, Level.INFO),
  /** A request has its outcome. */
  REQUEST_ENDED(60, Level.INFO),
  /** Attempts of a request ended because their connections were lost. */
  ATTEMPTS_LOST(61, Level.INFO),
  /** A request is blocked, as it has ended several endpoints. */
  REQUEST_BLOCKED(62, Level.WARN),
  /** A response was given up, as it is malformed or too large. */
  MALFORMED_RESPONSE(63, Level.WARN),
  /** A response arrived that no request awaited. */
  EXTRA_RESPONSE(64, Level.WARN),
  /** The control thread caught an unexpected exception. */
  CONTROL_FAULT(90, Level.ERROR),
  /** The traffic thread caught an unexpected exception. */
  TRAFFIC_FAULT(91, Level.ERROR),
  /** A request was rejected by its API key. */
  KEY_REJECTED(100, Level.INFO),
  /** This VM began or ceased to hand out quotas of tenants. */
  QUOTA_OWNERSHIP_CHANGED(110, Level.INFO),
  /** Requests of a tenant were refused because of its quota. */
  QUOTA_REFUSED(111, Level.WARN),
  /** A request was refused, as there is no room for its large response. */
  LARGE_REQUEST_REFUSED(130, Level.INFO),
  /** A large response ended before the caller had all of it. */
  LARGE_RESPONSE_CUT(131, Level.INFO),
  /** The send buffer of a caller's connection could not be limited. */
  SEND_BUFFER_NOT_LIMITED(132, Level.DEBUG),
  /** Most endpoints don't answer this VM, which uses only the others. */
  FEW_ENDPOINTS_REACHED(140, Level.WARN),
  /** Most endpoints answer this VM again. */
  MOST_ENDPOINTS_REACHED(141, Level.INFO);

  private final int number;
  private final Level level;

  Event(int number, Level level) {
    this.number = number;
    this.level = level;
  }

  /** Returns the event number. */
  public int number() {
    return number;
  }

  /** Returns the level at which the event is logged. */
  public Level level() {
    return level;
  }

  /** Returns the event code as written to the log, such as {@code MS0010}. */
  public String code() {
    return String.format("MS%04d", number);
  }
}
