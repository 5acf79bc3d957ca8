package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpMethod;
import java.net.InetAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.gateway.WeightedService;
import org.mustardstage.core.http.HeaderList;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberStatus;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.overload.BufferBudget;
import org.mustardstage.core.placement.RelaySelector;
import org.mustardstage.entry.http.MalformedResponse;
import org.mustardstage.entry.http.MalformedResponses;
import org.mustardstage.entry.http.MalformedResponses.Peers;

/** Guards against responses to relayed requests that are passed on although they are none. */
@Timeout(60)
class MalformedRelayTest {
  private static final ConfigVersion VERSION = new ConfigVersion(1);
  private static final RoutingRule BOOK =
      new RoutingRule(
          "book",
          "/book/",
          /* idempotent= */ false,
          1_000,
          1,
          /* affinity= */ false,
          List.of(new WeightedService(GatewayTestBed.ORDERS, 1)),
          5_000,
          2,
          ImmutableSet.of());

  private final Eventloop eventloop = Eventloop.create();
  private FakeEndpoint otherVm;
  private EndpointConnectionPool pool;

  @BeforeEach
  void start() throws Exception {
    otherVm = new FakeEndpoint("vm-2");
    pool =
        new EndpointConnectionPool(
            eventloop, GatewayTestBed.HEADER_NAMES, new BufferBudget<>(1 << 20), Peers.VMS);
    eventloop.keepAlive(true);
    Thread.ofPlatform().daemon().start(eventloop);
  }

  @AfterEach
  void stop() throws Exception {
    eventloop.submit(pool::closeAll).join();
    eventloop.execute(eventloop::breakEventloop);
    otherVm.close();
  }

  private static Member member(String id, HostAndPort address) {
    return new Member(
        new VmIncarnation(new VmId(id), 1),
        TestSettings.ZONE,
        TestSettings.REGION,
        address,
        address,
        address,
        /* leaving= */ false);
  }

  private RelayNetwork network() {
    Member self = member("vm-1", TestSettings.ADDRESS);
    ImmutableList<MemberStatus> statuses =
        ImmutableList.of(self, member("vm-2", otherVm.registration().address())).stream()
            .map(vm -> new MemberStatus(vm, MemberStatus.Liveness.ALIVE, false, VERSION))
            .collect(ImmutableList.toImmutableList());
    RelayNetwork network =
        new RelayNetwork(
            eventloop,
            pool,
            new RelaySelector(new VmId("vm-1"), new SplittableRandom(1)),
            GatewayTestBed.HEADER_NAMES);
    network.setMembers(new MemberView(self, statuses, ImmutableSet.of()));
    return network;
  }

  private static CallerRequest request() {
    long nowNanos = System.nanoTime();
    return new CallerRequest(
        "r-1",
        BOOK,
        Optional.empty(),
        Optional.empty(),
        GatewayTestBed.ORDERS,
        Optional.empty(),
        HttpMethod.POST,
        "/book/1",
        new HeaderList(List.of()),
        new byte[0],
        InetAddress.getLoopbackAddress(),
        nowNanos,
        nowNanos + Duration.ofSeconds(5).toNanos(),
        Optional.empty());
  }

  /** Among them are responses with status 000, which callers have got from other systems. */
  @ParameterizedTest
  @EnumSource
  void malformedResponseOfAnotherVmIsNotPassedOn(MalformedResponse malformed) throws Exception {
    otherVm.setHandler(
        (received, socket) ->
            FakeEndpoint.write(socket, malformed.toText("X-Request-Id: r-1\r\n")));
    long countBefore = MalformedResponses.count(Peers.VMS);

    RequestRelay.Result result = relay();

    assertThat(result, is(not(instanceOf(RequestRelay.Result.Responded.class))));
    assertThat(result, is(not(instanceOf(RequestRelay.Result.NotRun.class))));
    assertThat(result, is(not(instanceOf(RequestRelay.Result.NoVm.class))));
    assertThat(MalformedResponses.count(Peers.VMS), is(countBefore + 1));
  }

  /** VMs name the reason of each promise; callers would take this one for the endpoint's. */
  @ParameterizedTest
  @ValueSource(ints = {408, 421, 429, 503})
  void promiseWithoutReasonIsNotPassedOn(int status) throws Exception {
    otherVm.setHandler(
        (received, socket) ->
            FakeEndpoint.write(
                socket,
                "HTTP/1.1 " + status + " No\r\nX-Request-Id: r-1\r\nContent-Length: 0\r\n\r\n"));
    RequestRelay.Result result = relay();
    if (result instanceof RequestRelay.Result.NoVm) {
      // The first connect of the process may time out while classes are loaded.
      result = relay();
    }

    assertThat(result, is(instanceOf(RequestRelay.Result.Unknown.class)));
  }

  private RequestRelay.Result relay() throws InterruptedException {
    BlockingQueue<RequestRelay.Result> results = new LinkedBlockingQueue<>();
    eventloop.execute(
        () ->
            new RequestRelay(network(), request(), VERSION, new ArrayList<>(), results::add)
                .start(0));
    return results.poll(5, TimeUnit.SECONDS);
  }
}
