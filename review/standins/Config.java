import java.util.List;
import java.util.stream.Collectors;

/** Writes configurations as the operator does. */
final class Config {
  private Config() {}

  /** A route of the host {@link Lab#HOST}. */
  record Route(String name, String kind, double aimSeconds, double timeoutSeconds, String service) {
    private String json() {
      return "{\"name\":\"" + name + "\",\"match\":{\"prefix\":\"/" + name + "/\"},\"kind\":\"" + kind
          + "\",\"aim_s\":" + aimSeconds + ",\"priority\":1,\"affinity\":true,\"action\":{\"service\":\""
          + service + "\",\"timeout_s\":" + timeoutSeconds + ",\"max_attempts\":2,\"home_regions\":[]}}";
    }
  }

  static String of(int version, List<String> services, List<Route> routes) {
    return "{\"version\":\"r" + version + "\",\"limits\":{\"header_bytes\":16384,"
        + "\"body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15},\"clusters\":["
        + services.stream()
            .map(
                name ->
                    "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"conn_limit\":815,"
                        + "\"protocol\":\"h1\",\"tls\":false,\"cold_s\":3.0,\"cold_per_s\":17.0}")
            .collect(Collectors.joining(","))
        + "],\"listeners\":[{\"host\":\"" + Lab.HOST + "\",\"rules\":["
        + routes.stream().map(Route::json).collect(Collectors.joining(",")) + "]}]}";
  }
}
