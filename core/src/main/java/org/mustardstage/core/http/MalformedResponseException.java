package org.mustardstage.core.http;

/**
 * Thrown when bytes that should be a response depart from the grammar of HTTP/1.x, or exceed a
 * limit. Nothing that follows on the connection can be trusted.
 */
public final class MalformedResponseException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Bounds what of a peer's bytes is repeated in logs. */
  private static final int MAX_QUOTED_CHARS = 80;

  /**
   * Creates an exception without a stack trace, as it is caused by a peer.
   *
   * @param part the part of the response that is wrong, such as {@code "header name"}
   * @param found the text of that part, as ISO 8859-1
   * @param expected what would have been valid
   */
  MalformedResponseException(String part, String found, String expected) {
    super(part + " is " + quote(found) + " but must be " + expected, null, false, false);
  }

  /** Returns {@code text} in quotes, with all but printable ASCII characters escaped. */
  private static String quote(String text) {
    StringBuilder quoted = new StringBuilder("\"");
    int length = Math.min(text.length(), MAX_QUOTED_CHARS);
    for (int i = 0; i < length; i++) {
      char c = text.charAt(i);
      boolean isPlain = c >= ' ' && c < 0x7f && c != '"' && c != '\\';
      quoted.append(isPlain ? String.valueOf(c) : String.format("\\x%02x", (int) c));
    }
    return quoted.append(length < text.length() ? "...\"" : "\"").toString();
  }
}
