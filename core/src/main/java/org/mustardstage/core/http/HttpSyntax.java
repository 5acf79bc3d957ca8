package org.mustardstage.core.http;

import com.google.common.base.CharMatcher;

/** Characters and tokens of RFC 9110, section 5.6, in text that was decoded as ISO 8859-1. */
final class HttpSyntax {
  private static final char DEL = 0x7f;
  private static final char MAX_OCTET = 0xff;

  /** {@code DIGIT}. */
  static final CharMatcher DIGIT = CharMatcher.inRange('0', '9');

  /** {@code HEXDIG}. */
  static final CharMatcher HEX_DIGIT =
      DIGIT.or(CharMatcher.inRange('a', 'f')).or(CharMatcher.inRange('A', 'F'));

  /** {@code tchar}, of which names consist. */
  static final CharMatcher TOKEN =
      DIGIT
          .or(CharMatcher.inRange('a', 'z'))
          .or(CharMatcher.inRange('A', 'Z'))
          .or(CharMatcher.anyOf("!#$%&'*+-.^_`|~"));

  /** {@code SP} and {@code HTAB}, of which {@code OWS} and {@code BWS} consist. */
  static final CharMatcher BLANK = CharMatcher.anyOf(" \t");

  private HttpSyntax() {}

  /**
   * Returns whether {@code c} is {@code HTAB}, {@code SP}, {@code VCHAR} or {@code obs-text}, of
   * which values and reason phrases consist. No line of a response holds any other character.
   */
  static boolean isText(char c) {
    return c == '\t' || (c >= ' ' && c <= MAX_OCTET && c != DEL);
  }

  static boolean isToken(String text) {
    return !text.isEmpty() && TOKEN.matchesAllOf(text);
  }

  /**
   * Returns whether {@code text} is a {@code chunk-ext} of RFC 9112, section 7.1.1, which may be
   * empty.
   */
  static boolean isChunkExtension(String text) {
    int at = 0;
    while (at < text.length()) {
      at = skip(BLANK, text, at);
      if (!hasCharAt(text, at, ';')) {
        return false;
      }
      int name = skip(BLANK, text, at + 1);
      at = skip(TOKEN, text, name);
      if (at == name) {
        return false;
      }
      int equals = skip(BLANK, text, at);
      if (hasCharAt(text, equals, '=')) {
        int value = skip(BLANK, text, equals + 1);
        at = hasCharAt(text, value, '"') ? skipQuoted(text, value) : skip(TOKEN, text, value);
        if (at <= value) {
          return false;
        }
      }
    }
    return true;
  }

  /**
   * Returns the index after the quoted string that begins at {@code start}, or -1. Takes all
   * characters to be {@link #isText}.
   */
  private static int skipQuoted(String text, int start) {
    int at = start + 1;
    while (at < text.length() && text.charAt(at) != '"') {
      if (text.charAt(at) == '\\') {
        at++;
      }
      at++;
    }
    return at < text.length() ? at + 1 : -1;
  }

  private static int skip(CharMatcher characters, String text, int start) {
    int at = start;
    while (at < text.length() && characters.matches(text.charAt(at))) {
      at++;
    }
    return at;
  }

  private static boolean hasCharAt(String text, int index, char expected) {
    return index < text.length() && text.charAt(index) == expected;
  }
}
