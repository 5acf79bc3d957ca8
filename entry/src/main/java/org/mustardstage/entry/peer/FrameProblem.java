package org.mustardstage.entry.peer;

/** Reason why a frame could not be decoded into a message. */
public sealed interface FrameProblem {
  /** The frame has a protocol version that this VM does not support. */
  record UnknownVersion(int version) implements FrameProblem {}

  /** The frame has a message kind number that this VM does not know. */
  record UnknownKind(int kind) implements FrameProblem {}

  /** The frame is truncated, is not valid MessagePack or does not match the message schema. */
  record Malformed(String detail) implements FrameProblem {}
}
