package org.mustardstage.entry.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import com.google.common.io.Resources;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardstage.core.member.MemberMessage;
import org.mustardstage.core.member.PeerRelease;

/**
 * Checks that VMs of this release and of earlier ones understand each other. The files {@code
 * frames-release-N.txt} hold the frames, in hexadecimal, that the codec of release N wrote for each
 * kind of message: release 1 is commit 9a86ad7, release 2 is 20ebcc3.
 */
class PeerReleasesTest {
  private static final int HELLO_ELEMENTS = 5;

  record RecordedFrame(int release, String hex) {
    byte[] content() {
      return HexFormat.of().parseHex(hex);
    }
  }

  static Stream<RecordedFrame> recordedFrames() {
    return Stream.of(1, 2).flatMap(PeerReleasesTest::framesOfRelease);
  }

  private static Stream<RecordedFrame> framesOfRelease(int release) {
    String name = "frames-release-" + release + ".txt";
    try {
      return Resources.readLines(
              Resources.getResource(PeerReleasesTest.class, name), StandardCharsets.US_ASCII)
          .stream()
          .map(line -> new RecordedFrame(release, line));
    } catch (IOException e) {
      throw new IllegalStateException("can't read " + name, e);
    }
  }

  private static PeerCodec.Frame decode(byte[] content) {
    Either<FrameProblem, PeerCodec.Frame> decoded = PeerCodec.decode(content);
    assertThat(decoded.toString(), decoded.isRight());
    return decoded.get();
  }

  /** As what is written equals what the earlier release itself wrote, that release can read it. */
  @ParameterizedTest
  @MethodSource("recordedFrames")
  void frameOfEarlierReleaseIsDecodedAndWrittenAgainAsItWas(RecordedFrame recorded) {
    PeerCodec.Frame frame = decode(recorded.content());
    byte[] written =
        PeerCodec.encode(frame.correlationId(), frame.message(), recorded.release()).orElseThrow();
    if (frame.message() instanceof PeerMessage.Hello) {
      assertThat(written[0], is((byte) (0x90 | HELLO_ELEMENTS)));
      byte[] first = framesOfRelease(1).findFirst().orElseThrow().content();
      assertThat(
          Arrays.copyOfRange(written, 1, first.length),
          equalTo(Arrays.copyOfRange(first, 1, first.length)));
    } else {
      assertThat(written, equalTo(recorded.content()));
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void helloTellsWhichReleaseTheSenderSpeaks(int release) {
    PeerMessage message =
        decode(framesOfRelease(release).findFirst().orElseThrow().content()).message();
    assertThat(((PeerMessage.Hello) message).member().release(), is(release));
  }

  @Test
  void helloOfThisReleaseIsReadWhole() {
    PeerMessage.Hello hello =
        (PeerMessage.Hello) PeerCodecTest.messages().findFirst().orElseThrow();
    PeerMessage.Hello cutOff =
        new PeerMessage.Hello(hello.member().withCutOff(true), Optional.of("0123abcd"));
    assertThat(decode(PeerCodec.encode(1, cutOff)).message(), equalTo(cutOff));
    assertThat(cutOff.member().release(), is(PeerRelease.CURRENT));
  }

  @Test
  void fieldsOfLaterReleaseAreIgnored() {
    byte[] supersededWithLaterFields = {(byte) 0x94, 1, 24, 0, (byte) 0x93, 5, (byte) 0xc0, 1};
    assertThat(
        decode(supersededWithLaterFields).message(),
        equalTo(new PeerMessage.Membership(new MemberMessage.Superseded(5))));
  }

  /** Truncated, extended and altered frames of all releases are decoded or reported. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void alteredFramesNeverThrow(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<RecordedFrame> frames = recordedFrames().toList();
    for (int i = 0; i < 2_000; i++) {
      byte[] frame = frames.get(random.nextInt(frames.size())).content();
      byte[] altered = Arrays.copyOf(frame, random.nextInt(frame.length + 8));
      if (altered.length > 0) {
        altered[random.nextInt(altered.length)] = (byte) random.nextInt();
      }
      Either<FrameProblem, PeerCodec.Frame> decoded = PeerCodec.decode(altered);
      assertThat(decoded.isLeft() || decoded.get().message() != null, is(true));
    }
  }
}
