package org.mustardstage.standins.platform;

import static com.google.common.base.Strings.nullToEmpty;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import io.activej.reactor.Reactor;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.mustardstage.core.manifest.DocumentProblem;
import org.mustardstage.schema.JsonMessages;
import org.mustardstage.schema.generated.PlatformFaults;
import org.mustardstage.schema.generated.PlatformRow;
import org.mustardstage.schema.generated.PlatformRowList;
import org.mustardstage.schema.generated.PlatformTransaction;
import org.mustardstage.schema.generated.PlatformVm;
import org.mustardstage.standins.http.Headers;
import org.mustardstage.standins.http.JsonResponses;

/**
 * Serves the API of the platform: rows and transactions, objects and the list of VMs. Faults that
 * are set over HTTP make it delay, lose or reject calls.
 */
final class PlatformServlet implements AsyncServlet {
  private static final String ROWS_PATH_PREFIX = "/v1/rows/";
  private static final String SCAN_PATH = "/v1/scan";
  private static final String TRANSACTIONS_PATH = "/v1/transactions";
  private static final String OBJECTS_PATH_PREFIX = "/v1/objects/";
  private static final String VMS_PATH_PREFIX = "/v1/vms";
  private static final String FAULTS_PATH = "/-/faults";
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;

  private final Reactor reactor;
  private final TableStore table = new TableStore();
  private final ObjectStore objects = new ObjectStore();
  private final LaggingVmList vmList = new LaggingVmList();
  private PlatformFaults faults = new PlatformFaults();

  PlatformServlet(Reactor reactor) {
    this.reactor = reactor;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request) {
    if (request.getPath().equals(FAULTS_PATH)) {
      return withBody(request, PlatformFaults.class, this::setFaults);
    }
    if (faults.getCutZones().contains(nullToEmpty(request.getHeader(Headers.ZONE)))) {
      return new SettablePromise<>();
    }
    if (faults.getDown()) {
      return JsonResponses.failure(UNAVAILABLE, "down");
    }
    long halfDelayMillis = faults.getDelayMillis() / 2;
    return halfDelayMillis == 0
        ? route(request)
        : Promises.delay(reactor, halfDelayMillis)
            .then(() -> route(request))
            .then(response -> Promises.delay(reactor, halfDelayMillis, response));
  }

  private Promise<HttpResponse> route(HttpRequest request) {
    String path = request.getPath();
    HttpMethod method = request.getMethod();
    if (method == HttpMethod.GET && path.startsWith(ROWS_PATH_PREFIX)) {
      return readRow(path.substring(ROWS_PATH_PREFIX.length()));
    }
    if (method == HttpMethod.GET && path.equals(SCAN_PATH)) {
      return scan(nullToEmpty(request.getQueryParameter("prefix")));
    }
    if (method == HttpMethod.POST && path.equals(TRANSACTIONS_PATH)) {
      return withBody(request, PlatformTransaction.class, this::commit);
    }
    if (path.startsWith(OBJECTS_PATH_PREFIX)) {
      return serveObject(request, path.substring(OBJECTS_PATH_PREFIX.length()));
    }
    return path.startsWith(VMS_PATH_PREFIX)
        ? serveVms(request, path.substring(VMS_PATH_PREFIX.length()))
        : notFound();
  }

  private Promise<HttpResponse> readRow(String key) {
    return table.read(key).<Promise<HttpResponse>>map(JsonResponses::ok).orElseGet(this::notFound);
  }

  private Promise<HttpResponse> scan(String prefix) {
    List<PlatformRow> rows = table.scan(prefix);
    return JsonResponses.ok(new PlatformRowList().withRows(rows));
  }

  private Promise<HttpResponse> commit(PlatformTransaction transaction) {
    if (!table.commit(transaction)) {
      return JsonResponses.failure(CONFLICT, "condition-failed");
    }
    if (faults.getLoseAnswers() > 0) {
      faults.setLoseAnswers(faults.getLoseAnswers() - 1);
      return new SettablePromise<>();
    }
    return JsonResponses.ok(Map.of("committed", true));
  }

  private Promise<HttpResponse> serveObject(HttpRequest request, String hash) {
    return switch (request.getMethod()) {
      case GET ->
          objects
              .get(hash)
              .map(bytes -> HttpResponse.ok200().withBody(bytes).toPromise())
              .orElseGet(this::notFound);
      case PUT ->
          request
              .loadBody()
              .then(
                  body ->
                      objects.put(hash, body.getArray())
                          ? JsonResponses.ok(Map.of("hash", hash))
                          : JsonResponses.failure(BAD_REQUEST, "wrong-hash"));
      default -> notFound();
    };
  }

  private Promise<HttpResponse> serveVms(HttpRequest request, String pathSuffix) {
    long nowMillis = reactor.currentTimeMillis();
    return switch (request.getMethod()) {
      case GET -> JsonResponses.ok(vmList.list(nowMillis, faults.getListLagMillis()));
      case PUT -> withBody(request, PlatformVm.class, vm -> putVm(vm, pathSuffix));
      case DELETE -> {
        vmList.remove(pathSuffix.substring(pathSuffix.lastIndexOf('/') + 1), nowMillis);
        yield JsonResponses.ok(Map.of());
      }
      default -> notFound();
    };
  }

  private Promise<HttpResponse> putVm(PlatformVm vm, String pathSuffix) {
    if (!pathSuffix.equals("/" + vm.getVm())) {
      return JsonResponses.failure(BAD_REQUEST, "wrong-name");
    }
    vmList.put(vm, reactor.currentTimeMillis());
    return JsonResponses.ok(vm);
  }

  private Promise<HttpResponse> setFaults(PlatformFaults newFaults) {
    faults = newFaults;
    return JsonResponses.ok(faults);
  }

  private Promise<HttpResponse> notFound() {
    return JsonResponses.failure(NOT_FOUND, "not-found");
  }

  private static <T> Promise<HttpResponse> withBody(
      HttpRequest request, Class<T> type, Function<T, Promise<HttpResponse>> handler) {
    return request
        .loadBody()
        .then(
            body -> {
              Either<List<DocumentProblem>, T> message = JsonMessages.read(body.getArray(), type);
              return message.fold(JsonResponses::malformed, handler);
            });
  }
}
