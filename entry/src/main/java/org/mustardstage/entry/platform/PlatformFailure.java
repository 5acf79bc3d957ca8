package org.mustardstage.entry.platform;

/** Reason why a call to the platform failed. */
public sealed interface PlatformFailure {
  /** No connection could be opened, so the call had no effect. */
  record Unreachable(String detail) implements PlatformFailure {}

  /** No complete response arrived in time. The call may have taken effect. */
  record NoAnswer(String detail) implements PlatformFailure {}

  /** The platform responded with an error status. */
  record Refused(int status) implements PlatformFailure {}

  /** The response could not be parsed. */
  record Malformed(String detail) implements PlatformFailure {}

  /** The platform no longer has changes that old, so all rows have to be read again. */
  record HistoryLost() implements PlatformFailure {}

  /** The content of an object does not match the hash under which it is stored. */
  record WrongHash(String expected, String actual) implements PlatformFailure {}
}
