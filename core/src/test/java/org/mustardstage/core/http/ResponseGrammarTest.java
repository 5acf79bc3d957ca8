package org.mustardstage.core.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Puts every byte at every position of random responses and compares the parser with the grammar of
 * RFC 9112, written as regular expressions.
 */
class ResponseGrammarTest {
  private static final ResponseLimits LIMITS = ResponseLimits.withBodyOf(1 << 20);
  private static final int BYTES = 256;

  private static final String TEXT = "[\\t\\x20-\\x7e\\x80-\\xff]*";
  private static final String TOKEN_CHARS = "!#$%&'*+.^_`|~0-9A-Za-z-";
  private static final String FIELD = "([" + TOKEN_CHARS + "]+):(" + TEXT + ")\\r\\n";
  private static final String QUOTED =
      "\"([\\t \\x21\\x23-\\x5b\\x5d-\\x7e\\x80-\\xff]|\\\\[\\t\\x20-\\x7e\\x80-\\xff])*\"";
  private static final String EXTENSIONS =
      "([\\t ]*;[\\t ]*[%1$s]+([\\t ]*=[\\t ]*([%1$s]+|%2$s))?)*".formatted(TOKEN_CHARS, QUOTED);

  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.([01]) ([1-5][0-9][0-9]) " + TEXT + "\\r\\n");
  private static final String VERSION = "HTTP/1.";
  private static final Pattern UNENDED_LINE = Pattern.compile(TEXT + "\\r?");
  private static final Pattern ONE_FIELD = Pattern.compile(FIELD);
  private static final Pattern CHUNK_LINE =
      Pattern.compile("([0-9A-Fa-f]{1,15})" + EXTENSIONS + "\\r\\n");

  /** What the grammar says of a text that begins a connection. */
  private sealed interface Verdict {
    record Whole(int status, List<HeaderList.Line> headers, String body) implements Verdict {}

    /** More bytes may make it a response. */
    record Incomplete() implements Verdict {}

    record Malformed() implements Verdict {}
  }

  /** Reads a text by the regular expressions above. */
  private static final class Reference {
    private final String text;
    private int at;

    Reference(String text) {
      this.text = text;
    }

    Verdict read() {
      Optional<Matcher> statusLine = take(STATUS_LINE);
      if (statusLine.isEmpty()) {
        String beginning = text.substring(at, Math.min(text.length(), at + VERSION.length()));
        return VERSION.startsWith(beginning) ? notALine() : new Verdict.Malformed();
      }
      int status = Integer.parseInt(statusLine.get().group(2));
      boolean isOld = statusLine.get().group(1).equals("0");
      Optional<List<HeaderList.Line>> headers = takeFields();
      if (headers.isEmpty()) {
        return notALine();
      }
      if (status == 101) {
        return new Verdict.Malformed();
      }
      List<String> codings = new HeaderList(headers.get()).all("transfer-encoding");
      List<String> lengths = new HeaderList(headers.get()).all("content-length");
      if (codings.size() + lengths.size() > 1
          || codings.stream().anyMatch(coding -> !coding.equalsIgnoreCase("chunked") || isOld)
          || lengths.stream().anyMatch(length -> !length.matches("[0-9]{1,15}"))) {
        return new Verdict.Malformed();
      }
      if (status < 200) {
        return read();
      }
      if (status == 204 || status == 304) {
        return new Verdict.Whole(status, headers.get(), "");
      }
      if (!codings.isEmpty()) {
        return readChunks(status, headers.get());
      }
      if (lengths.isEmpty()) {
        return new Verdict.Incomplete();
      }
      return readBody(status, headers.get(), Long.parseLong(lengths.getFirst()));
    }

    private Verdict readBody(int status, List<HeaderList.Line> headers, long length) {
      if (length > LIMITS.maxBodyBytes()) {
        return new Verdict.Malformed();
      }
      return at + length > text.length()
          ? new Verdict.Incomplete()
          : new Verdict.Whole(status, headers, text.substring(at, at + (int) length));
    }

    private Verdict readChunks(int status, List<HeaderList.Line> headers) {
      StringBuilder body = new StringBuilder();
      while (true) {
        Optional<Matcher> line = take(CHUNK_LINE);
        if (line.isEmpty()) {
          return notALine();
        }
        long size = Long.parseLong(line.get().group(1), 16);
        if (size == 0) {
          return takeFields().isEmpty()
              ? notALine()
              : new Verdict.Whole(status, headers, body.toString());
        }
        if (body.length() + size > LIMITS.maxBodyBytes()) {
          return new Verdict.Malformed();
        }
        int end = at + (int) size;
        if (end + 2 > text.length()) {
          boolean mayGoOn = end >= text.length() || text.charAt(end) == '\r';
          return mayGoOn ? new Verdict.Incomplete() : new Verdict.Malformed();
        }
        if (!text.startsWith("\r\n", end)) {
          return new Verdict.Malformed();
        }
        body.append(text, at, end);
        at = end + 2;
      }
    }

    private Optional<List<HeaderList.Line>> takeFields() {
      ImmutableList.Builder<HeaderList.Line> fields = ImmutableList.builder();
      while (!text.startsWith("\r\n", at)) {
        Optional<Matcher> field = take(ONE_FIELD);
        if (field.isEmpty()) {
          return Optional.empty();
        }
        String value = field.get().group(2).replaceAll("\\A[\\t ]+|[\\t ]+\\z", "");
        fields.add(new HeaderList.Line(field.get().group(1), value));
      }
      at += 2;
      return Optional.of(fields.build());
    }

    /** Tells a line that has not ended yet from one that is wrong. */
    private Verdict notALine() {
      return UNENDED_LINE.matcher(text).region(at, text.length()).matches()
          ? new Verdict.Incomplete()
          : new Verdict.Malformed();
    }

    private Optional<Matcher> take(Pattern pattern) {
      Matcher matcher = pattern.matcher(text).region(at, text.length());
      if (!matcher.lookingAt()) {
        return Optional.empty();
      }
      at = matcher.end();
      return Optional.of(matcher);
    }
  }

  private static Verdict parse(String text) {
    ResponseParser parser = new ResponseParser(LIMITS, /* withoutBody= */ false);
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    parser.add(bytes, 0, bytes.length);
    try {
      return parser
          .next()
          .<Verdict>map(
              response ->
                  new Verdict.Whole(
                      response.head().status(),
                      response.head().headers().lines(),
                      new String(response.body(), StandardCharsets.ISO_8859_1)))
          .orElseGet(Verdict.Incomplete::new);
    } catch (MalformedResponseException e) {
      return new Verdict.Malformed();
    }
  }

  private static String pick(RandomGenerator random, String... texts) {
    return texts[random.nextInt(texts.length)];
  }

  private static String randomResponse(RandomGenerator random) {
    boolean chunked = random.nextBoolean();
    return pick(random, "", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 x\r\nLink: a\r\n\r\n")
        + (chunked || random.nextBoolean() ? "HTTP/1.1 " : "HTTP/1.0 ")
        + pick(random, "200 OK", "503 ", "404 Not \u00fc\t!")
        + "\r\n"
        + pick(random, "X-Id: 17", "x:", "a'!`: \t b c \t")
        + "\r\n"
        + (chunked ? "Transfer-Encoding: chunked" : "Content-Length:5")
        + "\r\nX-Seal:\u00e4\r\n\r\n"
        + (chunked
            ? pick(random, "5", "05;a", "5 ; a=\"\\\"b\" ;c=d")
                + "\r\nhello\r\n0\r\n"
                + pick(random, "", "X-Sum: 1\r\n")
                + "\r\n"
            : "hello");
  }

  private static String show(String text) {
    return new MalformedResponseException("", text, "").getMessage();
  }

  private static void compare(String text) {
    Verdict expected = new Reference(text).read();
    Verdict actual = parse(text);
    if (!expected.equals(actual)) {
      assertThat(show(text), actual, is(expected));
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void parserAgreesWithTheGrammarForEveryByteAtEveryPosition(long seed) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    String valid = randomResponse(random);
    assertThat(show(valid), parse(valid), is(new Reference(valid).read()));
    for (int position = 0; position < valid.length(); position++) {
      for (int octet = 0; octet < BYTES; octet++) {
        compare(valid.substring(0, position) + (char) octet + valid.substring(position + 1));
        compare(valid.substring(0, position) + (char) octet + valid.substring(position));
      }
      compare(valid.substring(0, position) + valid.substring(position + 1));
    }
  }
}
