package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.mustardstage.core.drain.StopSchedule;
import org.mustardstage.core.gateway.GatewayConfig;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.overload.BufferBudget;
import org.mustardstage.core.placement.EndpointLimit;
import org.mustardstage.core.placement.EndpointLimits;
import org.mustardstage.core.placement.RelaySelector;
import org.mustardstage.core.placement.RequestBlock;
import org.mustardstage.core.placement.UsableEndpoint;
import org.mustardstage.core.quota.QuotaAction;
import org.mustardstage.core.quota.QuotaMessage;
import org.mustardstage.entry.http.MalformedResponses.Peers;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;
import org.mustardstage.entry.traffic.CallerConnections;
import org.mustardstage.entry.traffic.TrafficSettings;

/** Runs the traffic thread, which serves callers' requests, and its listening sockets. */
final class GatewayServer implements GatewayControl.StateListener {
  /**
   * Long enough to disable the timeouts of the HTTP server; {@link CallerConnections} has its own.
   */
  private static final Duration NO_TIMEOUT = Duration.ofDays(1);

  /** The share of the heap that the bodies of all requests may hold. */
  private static final double REQUEST_BODIES_HEAP_SHARE = 0.15;

  /** The share of the heap that the buffers of all incomplete responses may hold. */
  private static final double RESPONSE_BUFFERS_HEAP_SHARE = 0.25;

  /** The share of the heap that all large responses may hold until callers have taken them. */
  private static final double LARGE_RESPONSES_HEAP_SHARE = 0.25;

  /** The share of the descriptors that connections of callers may use. */
  private static final double CALLER_DESCRIPTORS_SHARE = 0.5;

  private static final long CONNECTION_SWEEP_INTERVAL_MILLIS = 500;
  private static final long IDLE_CHECK_INTERVAL_MILLIS = 20;

  private final GatewaySettings settings;
  private volatile BooleanSupplier keyCheck = () -> true;
  private final PlatformAdapter adapter;
  private final GatewayMetrics metrics;
  private final Eventloop eventloop;
  private final Dispatcher dispatcher;
  private final CallerConnections callerConnections;
  private final EndpointConnectionPool endpointConnections;
  private final EndpointLinkMonitor linkMonitor;
  private final EndpointConnectionPool vmConnections;
  private final RelayNetwork relayNetwork;
  private final GatewayServlet servlet;
  private final CrashGuard crashGuard;
  private final QuotaGate quotas;
  private final LargeResponses largeResponses;
  private final HttpServer callerServer;
  private final List<HttpServer> otherServers = new ArrayList<>();
  private Optional<GatewayConfig> config = Optional.empty();
  private Consumer<Boolean> cutOffListener = cutOff -> {};
  private volatile boolean rejectsNewRequests;
  private volatile Optional<StopSchedule> stopSchedule = Optional.empty();
  private boolean stopped;

  GatewayServer(GatewaySettings settings, PlatformAdapter adapter, GatewayMetrics metrics) {
    this(settings, adapter, metrics, Runtime.getRuntime().maxMemory());
  }

  /** Creates a server whose buffers are bounded for a heap of {@code heapBytes}. */
  GatewayServer(
      GatewaySettings settings, PlatformAdapter adapter, GatewayMetrics metrics, long heapBytes) {
    this.settings = settings;
    this.adapter = adapter;
    this.metrics = metrics;
    this.eventloop =
        Eventloop.builder()
            .withThreadName("traffic")
            .withFatalErrorHandler((e, context) -> EventLog.log(Event.TRAFFIC_FAULT, e))
            .build();
    this.dispatcher = new Dispatcher(settings, eventloop, System::nanoTime);
    this.quotas = new QuotaGate(settings, eventloop, System::nanoTime);
    this.crashGuard = new CrashGuard(/* expectsPeers= */ !settings.seedPeers().isEmpty());
    HeaderNames headerNames = adapter.headerNames();
    BufferBudget<EndpointConnection> responseBuffers =
        new BufferBudget<>((long) (RESPONSE_BUFFERS_HEAP_SHARE * heapBytes));
    this.largeResponses =
        new LargeResponses(
            (long) (LARGE_RESPONSES_HEAP_SHARE * heapBytes), responseBuffers::heldBytes, metrics);
    this.endpointConnections =
        new EndpointConnectionPool(eventloop, headerNames, responseBuffers, Peers.ENDPOINTS);
    this.vmConnections =
        new EndpointConnectionPool(eventloop, headerNames, responseBuffers, Peers.VMS);
    this.relayNetwork =
        new RelayNetwork(
            eventloop,
            vmConnections,
            new RelaySelector(settings.vm(), RandomGenerator.getDefault()),
            headerNames);
    this.linkMonitor = new EndpointLinkMonitor(eventloop, endpointConnections, headerNames);
    linkMonitor.addListener(new CutListener());
    this.callerConnections =
        new CallerConnections(
            eventloop, TrafficSettings.defaults(settings.callerAddress()), new AtomicInteger());
    callerConnections.setMaxConnections(
        Math.max(1, (int) (CALLER_DESCRIPTORS_SHARE * settings.maxDescriptors())));
    this.servlet =
        new GatewayServlet(
            () -> config,
            new GatewayServices(
                eventloop,
                dispatcher,
                endpointConnections,
                linkMonitor,
                relayNetwork,
                crashGuard,
                quotas,
                largeResponses,
                headerNames),
            () -> rejectsNewRequests,
            () -> stopSchedule,
            () -> keyCheck.getAsBoolean(),
            new RequestBodyReader(eventloop, (long) (REQUEST_BODIES_HEAP_SHARE * heapBytes)),
            metrics);
    this.callerServer =
        HttpServer.builder(eventloop, servlet)
            .withListenAddress(address(settings.callerAddress()))
            .withKeepAliveTimeout(NO_TIMEOUT)
            .withReadWriteTimeout(Duration.ZERO, NO_TIMEOUT)
            .withSocketInspector(callerConnections.socketInspector())
            .withInspector(callerConnections.httpInspector())
            .build();
  }

  /** Sets what says whether the keys of the active configuration may be accepted. */
  void setKeyCheck(BooleanSupplier acceptsKeys) {
    keyCheck = acceptsKeys;
  }

  /**
   * Sets what is told of each response in which an endpoint says that it is leaving. The listener
   * runs on the traffic thread.
   */
  void setLeavingListener(Consumer<RegisteredEndpoint> listener) {
    dispatcher.setLeavingListener(listener);
  }

  /**
   * Sets what is told how much longer an endpoint stays cold, by its response to a health check.
   * The listener runs on the traffic thread.
   */
  void setColdnessListener(BiConsumer<RegisteredEndpoint, Duration> listener) {
    linkMonitor.setColdnessListener(listener);
  }

  /**
   * Sets what is told of the limits that endpoints name in responses. The listener runs on the
   * traffic thread.
   */
  void setLimitListener(Consumer<EndpointLimits.Report> listener) {
    dispatcher.setLimitListener(listener);
  }

  /** Sets what sends messages about quotas. The sender is called on the traffic thread. */
  void setQuotaSender(Consumer<List<QuotaAction.Send>> sender) {
    quotas.setSender(sender);
  }

  /** Sets what is told of the attempts that are lost. The listener runs on the traffic thread. */
  void setCrashListener(CrashGuard.Listener listener) {
    crashGuard.setListener(listener);
  }

  /**
   * Sets what is told when this VM is cut off from all endpoints, and when the cut has ended. The
   * listener runs on the traffic thread.
   */
  void setCutOffListener(Consumer<Boolean> listener) {
    cutOffListener = listener;
  }

  private final class CutListener implements EndpointLinkMonitor.Listener {
    @Override
    public void onCutOff() {
      dispatcher.setCutOff(true);
      cutOffListener.accept(true);
    }

    @Override
    public void onReachedAgain() {
      dispatcher.setCutOff(false);
      cutOffListener.accept(false);
    }
  }

  private void addServers(GatewayStatus status) {
    addServer(settings.readinessAddress(), adapter.readinessServlet(eventloop, status));
    settings
        .lookupAddress()
        .ifPresent(listen -> addServer(listen, adapter.lookupServlet(eventloop, status)));
    addServer(
        settings.metricsAddress(),
        request -> {
          metrics.setServices(dispatcher.serviceStates());
          return HttpResponse.ok200().withBody(metrics.scrape()).toPromise();
        });
  }

  @Override
  public void onConfig(GatewayConfig newer) {
    eventloop.execute(
        () -> {
          config = Optional.of(newer);
          callerConnections.setTimeouts(
              newer.callerLimits().headerTimeoutMillis(), newer.callerLimits().idleTimeoutMillis());
          linkMonitor.setServices(newer.services());
          dispatcher.setConfig(newer);
          quotas.setTenants(newer.tenants());
        });
  }

  @Override
  public void onEndpoints(ImmutableMap<ServiceName, ImmutableList<UsableEndpoint>> usable) {
    eventloop.execute(
        () -> {
          linkMonitor.setEndpoints(usable);
          dispatcher.setEndpoints(usable);
        });
  }

  @Override
  public void onVmsListed(int count) {
    eventloop.execute(() -> quotas.setListedVms(count));
  }

  @Override
  public void onMembers(MemberView view) {
    eventloop.execute(
        () -> {
          dispatcher.setMembers(view);
          relayNetwork.setMembers(view);
          crashGuard.setMembers(view);
          quotas.setMembers(view);
        });
  }

  @Override
  public ImmutableSet<EndpointLimit> limitsInForce() {
    return dispatcher.limitsInForce();
  }

  @Override
  public void onEndpointLimits(List<EndpointLimit> limits) {
    eventloop.execute(() -> dispatcher.applyLimits(limits));
  }

  @Override
  public void onQuotaMessage(VmId from, QuotaMessage message) {
    eventloop.execute(() -> quotas.applyMessage(from, message));
  }

  @Override
  public void onRequestBlocks(List<RequestBlock> blocks) {
    eventloop.execute(() -> crashGuard.block(blocks));
  }

  private void addServer(HostAndPort listen, AsyncServlet handler) {
    otherServers.add(
        HttpServer.builder(eventloop, handler).withListenAddress(address(listen)).build());
  }

  private static InetSocketAddress address(HostAndPort address) {
    return new InetSocketAddress(address.host(), address.port());
  }

  /** Starts to listen; readiness checks and lookups are responded to from {@code status}. */
  void start(GatewayStatus status) throws IOException {
    addServers(status);
    eventloop.keepAlive(true);
    new Thread(eventloop, "traffic").start();
    try {
      eventloop.submit(this::listen).join();
    } catch (CompletionException e) {
      throw new IOException("can't listen on one of the configured addresses", e.getCause());
    }
  }

  private void listen() throws IOException {
    for (HttpServer server : otherServers) {
      server.listen();
    }
    callerServer.listen();
    sweepConnections();
  }

  private void sweepConnections() {
    if (stopped) {
      return;
    }
    callerConnections.closeTimedOut();
    endpointConnections.closeExpired(System.nanoTime());
    vmConnections.closeExpired(System.nanoTime());
    eventloop.delayBackground(CONNECTION_SWEEP_INTERVAL_MILLIS, this::sweepConnections);
  }

  /** Rejects new requests that may outlast the process, which stops by {@code schedule}. */
  void beginStop(StopSchedule schedule) {
    stopSchedule = Optional.of(schedule);
  }

  /** Rejects new requests, stops listening and closes idle caller connections. */
  void rejectNewRequests() {
    rejectsNewRequests = true;
    eventloop.execute(() -> callerServer.close());
  }

  /** Waits until all requests have been responded to in full, at most {@code timeoutMillis}. */
  void awaitIdle(long timeoutMillis) {
    CompletableFuture<Void> idle = new CompletableFuture<>();
    long deadlineNanos = System.nanoTime() + Duration.ofMillis(timeoutMillis).toNanos();
    eventloop.execute(() -> checkIdle(idle, deadlineNanos));
    idle.join();
  }

  /** Answers all requests that have no outcome yet, and rejects those whose body is incomplete. */
  void endRequests() {
    eventloop.submit(servlet::endRequests).join();
  }

  private void checkIdle(CompletableFuture<Void> done, long deadlineNanos) {
    boolean idle = servlet.inFlight() == 0 && callerConnections.areAllIdle();
    if (idle || System.nanoTime() - deadlineNanos >= 0) {
      done.complete(null);
      return;
    }
    eventloop.delay(IDLE_CHECK_INTERVAL_MILLIS, () -> checkIdle(done, deadlineNanos));
  }

  /** Closes the endpoint connections and other servers, and stops the traffic thread. */
  void stop() {
    eventloop
        .submit(
            () -> {
              stopped = true;
              endpointConnections.closeAll();
              vmConnections.closeAll();
              List<Promise<?>> closing = new ArrayList<>();
              otherServers.forEach(server -> closing.add(server.close()));
            })
        .join();
    eventloop.keepAlive(false);
    eventloop.execute(eventloop::breakEventloop);
  }
}
