package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.mustardstage.core.http.HeaderList;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.PeerRelease;

/**
 * Relays one request to another VM, as this VM is cut off from the endpoints. VMs that can't be
 * reached, or respond that they can't serve it, are followed by others; nothing else is repeated
 * here. Used on the traffic thread only.
 */
final class RequestRelay {
  /** Subtracted from the deadline sent to the VM, so that its response arrives in time. */
  private static final long RESPONSE_TRANSFER_MARGIN_MILLIS = 5;

  private static final long VM_CHECK_INTERVAL_MILLIS = 250;

  /** After this, and this multiple of the latency objective, a VM is taken to be silent. */
  private static final long MIN_SILENCE_MILLIS = 2_000;

  private static final int SILENCE_OBJECTIVE_FACTOR = 3;

  private static final int MAX_VMS = 3;

  /** Why a VM does not serve a request that another VM may serve. */
  private static final ImmutableSet<String> TRY_ANOTHER_VM =
      ImmutableSet.of(
          NotRunReasons.STOPPING,
          NotRunReasons.NO_CONFIG,
          NotRunReasons.OLDER_CONFIG,
          NotRunReasons.KEYS_STALE,
          NotRunReasons.CUT_OFF,
          NotRunReasons.BUFFERS_FULL);

  private final RelayNetwork network;
  private final CallerRequest request;
  private final ConfigVersion configVersion;
  private final List<String> trace;
  private final Consumer<Result> onResult;
  private final Set<VmId> tried = new HashSet<>();
  private int sentAttempts;
  private Optional<Sent> sent = Optional.empty();

  /** How the relayed request ended. */
  sealed interface Result {
    /** The VM passed on the response of an endpoint. */
    record Responded(EndpointResponse response) implements Result {}

    /** The request was not run, and the VM said that it never will be. */
    record NotRun(String reason, long retryAfterMillis) implements Result {}

    /** The request may have run. */
    record Unknown(RequestOutcome.Unknown.Cause cause) implements Result {}

    /** The VM ended or went silent, so the request may have run. */
    record Lost() implements Result {}

    /** No VM could be reached that may serve the request; it was not run. */
    record NoVm() implements Result {}
  }

  /** The request on its way to one VM. */
  private static final class Sent {
    private final Member vm;
    private final EndpointConnection connection;
    private final long startedNanos = System.nanoTime();
    private Optional<ScheduledRunnable> vmCheck = Optional.empty();

    Sent(Member vm, EndpointConnection connection) {
      this.vm = vm;
      this.connection = connection;
    }
  }

  /**
   * Creates a relay that is not started.
   *
   * @param configVersion the configuration by which this VM took the request
   * @param trace receives how each attempt ended, for the request log
   * @param onResult called once after each start, and later, unless it is cancelled
   */
  RequestRelay(
      RelayNetwork network,
      CallerRequest request,
      ConfigVersion configVersion,
      List<String> trace,
      Consumer<Result> onResult) {
    this.network = network;
    this.request = request;
    this.configVersion = configVersion;
    this.trace = trace;
    this.onResult = onResult;
  }

  /** Returns whether there is a VM that may serve the request. */
  boolean hasVm() {
    return chooseVm().isPresent();
  }

  private Optional<Member> chooseVm() {
    return tried.size() < MAX_VMS
        ? network.selector().choose(System.nanoTime(), request.rule(), request.tenant(), tried)
        : Optional.empty();
  }

  /**
   * Relays the request.
   *
   * @param usedAttempts the attempts that the VM must not use
   */
  void start(int usedAttempts) {
    sentAttempts = usedAttempts;
    tryNextVm();
  }

  private void tryNextVm() {
    Optional<Member> chosen = chooseVm();
    if (chosen.isPresent()) {
      send(chosen.get());
    } else {
      network.reactor().post(() -> onResult.accept(new Result.NoVm()));
    }
  }

  /** Cancels the request at the VM. */
  void cancel() {
    sent.ifPresent(
        current -> {
          end(current);
          current.connection.close();
        });
  }

  private void send(Member vm) {
    tried.add(vm.vm());
    Optional<EndpointConnectionPool.Sent> started =
        network.connections().send(vm.trafficAddress(), request, encode(vm));
    if (started.isEmpty()) {
      trace.add(vm.vm() + ":" + NotRunReasons.NO_LINK);
      tryNextVm();
      return;
    }
    network.selector().recordSent(vm.vm());
    Sent current = new Sent(vm, started.get().connection());
    sent = Optional.of(current);
    scheduleVmCheck(current);
    started.get().response().whenResult(result -> onResponse(current, result));
  }

  private byte[] encode(Member vm) {
    long nowNanos = System.nanoTime();
    long remainingMillis = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - nowNanos);
    RelayHeader header =
        new RelayHeader(
            configVersion.number(),
            sentAttempts,
            TimeUnit.NANOSECONDS.toMillis(nowNanos - request.arrivalNanos()));
    ImmutableList.Builder<HeaderList.Line> added = ImmutableList.builder();
    added.add(new HeaderList.Line(RelayHeader.NAME, header.format()));
    if (vm.release() >= PeerRelease.API_KEYS) {
      // An earlier release would forward the header to the endpoint.
      request
          .keyHash()
          .map(hash -> new HeaderList.Line(RelayHeader.KEY_HASH_NAME, hash.toString()))
          .ifPresent(added::add);
    }
    return RequestEncoder.encode(
        request,
        added.build(),
        network.headerNames(),
        Math.max(1, remainingMillis - RESPONSE_TRANSFER_MARGIN_MILLIS));
  }

  private void scheduleVmCheck(Sent current) {
    if (request.rule().idempotent()) {
      current.vmCheck =
          Optional.of(
              network.reactor().delayBackground(VM_CHECK_INTERVAL_MILLIS, () -> checkVm(current)));
    }
  }

  /**
   * Gives up a VM that is believed dead, or that has responded to nothing on any connection since
   * the request was relayed to it.
   */
  private void checkVm(Sent current) {
    if (network.selector().isAlive(current.vm.vm()) && !isSilent(current)) {
      scheduleVmCheck(current);
      return;
    }
    cancel();
    network.selector().recordFailed(System.nanoTime(), current.vm.vm());
    network.connections().closeIdle(current.vm.trafficAddress());
    recordEnd(current, "RELAY_SILENT");
    onResult.accept(new Result.Lost());
  }

  private boolean isSilent(Sent current) {
    long respondedNanos = network.connections().lastResponseNanos(current.vm.trafficAddress());
    long silenceMillis =
        Math.max(
            MIN_SILENCE_MILLIS, SILENCE_OBJECTIVE_FACTOR * request.rule().latencyObjectiveMillis());
    return respondedNanos - current.startedNanos < 0
        && System.nanoTime() - current.startedNanos >= TimeUnit.MILLISECONDS.toNanos(silenceMillis);
  }

  private void end(Sent current) {
    current.vmCheck.ifPresent(ScheduledRunnable::cancel);
    sent = Optional.empty();
    network.selector().recordEnded(current.vm.vm());
  }

  private void recordEnd(Sent current, String how) {
    long elapsedMillis = (System.nanoTime() - current.startedNanos) / 1_000_000;
    trace.add(current.vm.vm() + ":" + how + ":" + elapsedMillis);
  }

  private void onResponse(Sent current, Either<ConnectionFailure, EndpointResponse> result) {
    if (!sent.equals(Optional.of(current))) {
      return;
    }
    end(current);
    if (result.isLeft()) {
      onFailure(current, result.getLeft());
      return;
    }
    network.connections().release(current.vm.trafficAddress(), current.connection);
    EndpointResponse response = result.get();
    Optional<String> reason = response.headers().find(GatewayServlet.ERROR_REASON_NAME);
    recordEnd(current, "RELAYED" + reason.map(text -> "_" + text).orElse(""));
    if (reason.isEmpty()) {
      // VMs name the reason of each promise, so this one is not a VM's.
      onResult.accept(
          response.promisesNotRun()
              ? new Result.Unknown(RequestOutcome.Unknown.Cause.ANSWER_SPOILED)
              : new Result.Responded(response));
      return;
    }
    if (response.status() != NotRunReasons.statusOf(reason.get())) {
      onResult.accept(
          RequestOutcome.Unknown.Cause.find(response.status(), reason.get())
              .<Result>map(Result.Unknown::new)
              .orElse(new Result.Responded(response)));
      return;
    }
    if (TRY_ANOTHER_VM.contains(reason.get())) {
      network.selector().recordFailed(System.nanoTime(), current.vm.vm());
      tryNextVm();
      return;
    }
    onResult.accept(new Result.NotRun(reason.get(), retryAfterMillis(response)));
  }

  private long retryAfterMillis(EndpointResponse response) {
    return response
        .headers()
        .find("Retry-After")
        .flatMap(EndpointReport::parseRetryAfter)
        .map(Duration::toMillis)
        .orElse(request.rule().latencyObjectiveMillis());
  }

  private void onFailure(Sent current, ConnectionFailure failure) {
    recordEnd(current, "RELAY_" + failure);
    switch (failure) {
      case CONNECT_REFUSED, CONNECT_TIMED_OUT -> {
        network.selector().recordFailed(System.nanoTime(), current.vm.vm());
        tryNextVm();
      }
      case RESET_AFTER_IDLE -> onResult.accept(new Result.Lost());
      case CONNECTION_LOST, MALFORMED -> {
        network.selector().recordFailed(System.nanoTime(), current.vm.vm());
        onResult.accept(new Result.Lost());
      }
    }
  }
}
