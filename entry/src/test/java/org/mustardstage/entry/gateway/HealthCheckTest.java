package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.http.HeaderList;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;

/** Guards against something else on the way to an endpoint that is taken for it. */
class HealthCheckTest {
  private final HealthCheck check =
      new HealthCheck(
          new RegisteredEndpoint(
              new EndpointId("i-1"),
              new ServiceName("orders"),
              new HostAndPort("10.0.0.1", 80),
              new ZoneId("north-a"),
              9,
              /* draining= */ false,
              0,
              1),
          "/health",
          GatewayTestBed.HEADER_NAMES);

  @ParameterizedTest
  @CsvSource({
    "200, X-Instance-Id, i-1, true",
    "503, X-Instance-Id, i-1, true",
    "503, X-Not-Executed, full, true",
    "200, X-Instance-Id, i-2, false",
    "421, X-Not-Executed, misdirected, false",
    "200, Server, proxy, false",
    "502, Server, proxy, false"
  })
  void onlyTheEndpointItselfAnswers(int status, String name, String value, boolean answered) {
    EndpointResponse response =
        new EndpointResponse(
            status, new HeaderList(List.of(new HeaderList.Line(name, value))), new byte[0]);

    assertThat(check.isAnsweredBy(response), is(answered));
  }

  @ParameterizedTest
  @CsvSource({
    "i-1, 2500, 2500",
    "i-1, 0, 0",
    "i-1, 1000000000000, 1000000000000",
    "i-1, 1000000000001, -1",
    "i-1, -1, -1",
    "i-1, 2.5, -1",
    "i-1, soon, -1",
    "i-2, 2500, -1"
  })
  void onlyTheEndpointItselfSaysHowLongItStaysCold(String id, String value, long millis) {
    EndpointResponse response =
        new EndpointResponse(
            200,
            new HeaderList(
                List.of(
                    new HeaderList.Line("X-Instance-Id", id),
                    new HeaderList.Line("X-Cold-Ms", value))),
            new byte[0]);

    assertThat(check.coldRemaining(response).map(Duration::toMillis).orElse(-1L), is(millis));
  }

  /** The id of a request that no caller has sent would be taken for one of a caller. */
  @Test
  void checkNamesTheExpectedEndpointAndNoRequest() {
    String text = new String(check.encode(1_500), StandardCharsets.ISO_8859_1);

    assertThat(text, containsString("GET /health HTTP/1.1\r\n"));
    assertThat(text, containsString("\r\nX-Expect-Instance: i-1\r\n"));
    assertThat(text, containsString("\r\nX-Deadline-Ms: 1500\r\n"));
    assertThat(text, not(containsString("X-Request-Id")));
  }
}
