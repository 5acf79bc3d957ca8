package org.mustardstage.entry.peer;

/** Why a frame was not understood. */
public sealed interface FrameProblem {
  /** The frame is of a version of the protocol that this VM does not speak. */
  record UnknownVersion(int version) implements FrameProblem {}

  /** The frame holds a kind of message that this VM does not know. */
  record UnknownKind(int kind) implements FrameProblem {}

  /** The frame is not a whole and valid message. */
  record Malformed(String detail) implements FrameProblem {}
}
