package org.mustardstage.entry.platform;

/** Why a call to the platform failed. */
public sealed interface PlatformFailure {
  /** No connection was made. */
  record Unreachable(String detail) implements PlatformFailure {}

  /** No whole answer came in time. */
  record NoAnswer(String detail) implements PlatformFailure {}

  /** The platform answered that it can't serve the call. */
  record Refused(int status) implements PlatformFailure {}

  /** The answer could not be understood. */
  record Malformed(String detail) implements PlatformFailure {}

  /** Changes this long ago are no longer known; the rows have to be read anew. */
  record HistoryLost() implements PlatformFailure {}

  /** The object's content does not have the hash it is stored under. */
  record WrongHash(String expected, String actual) implements PlatformFailure {}
}
