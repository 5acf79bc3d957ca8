package org.mustardstage.core.outcome;

import com.google.common.base.CharMatcher;
import com.google.common.base.Preconditions;
import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;
import io.vavr.control.Either;
import java.util.List;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;

/**
 * Identifies one request of a caller, so that the request and its retries run at most once.
 *
 * @param prefix the key prefix of a lookup response
 * @param text the part that the caller chose
 */
public record IdempotencyKey(KeyPrefix prefix, String text) {
  /** The largest length of a key, including its prefix. */
  public static final int MAX_LENGTH_CHARS = 256;

  private static final int PART_COUNT = 4;
  private static final Splitter SPLITTER = Splitter.on('/').limit(PART_COUNT);
  private static final CharMatcher PRINTABLE = CharMatcher.inRange('!', '~');

  /** Checks that the text is printable and not empty. */
  public IdempotencyKey {
    Preconditions.checkArgument(
        isValidText(text), "key text must be printable ASCII without spaces and not empty");
  }

  /** Parses a key of the form {@code vm/incarnation/epoch/text}. */
  public static Either<BadRequest, IdempotencyKey> parse(String value) {
    if (value.length() > MAX_LENGTH_CHARS) {
      return Either.left(BadRequest.MALFORMED_KEY);
    }
    List<String> parts = SPLITTER.splitToList(value);
    if (parts.size() != PART_COUNT || !isValidText(parts.get(3))) {
      return Either.left(BadRequest.MALFORMED_KEY);
    }
    Long incarnation = Longs.tryParse(parts.get(1));
    Long epoch = Longs.tryParse(parts.get(2));
    if (incarnation == null || epoch == null || incarnation <= 0 || epoch < 0) {
      return Either.left(BadRequest.MALFORMED_KEY);
    }
    return parseVm(parts.get(0))
        .map(vm -> new KeyPrefix(new VmIncarnation(vm, incarnation), epoch))
        .map(prefix -> new IdempotencyKey(prefix, parts.get(3)));
  }

  @Override
  public String toString() {
    return prefix + "/" + text;
  }

  private static Either<BadRequest, VmId> parseVm(String name) {
    try {
      return Either.right(new VmId(name));
    } catch (IllegalArgumentException e) {
      return Either.left(BadRequest.MALFORMED_KEY);
    }
  }

  private static boolean isValidText(String text) {
    return !text.isEmpty() && PRINTABLE.matchesAllOf(text);
  }
}
