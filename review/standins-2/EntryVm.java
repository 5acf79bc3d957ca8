package org.mustardstage.review2;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry VM: a process of the project, started with the run line of the deploy file. */
final class EntryVm {
  private static final Set<Integer> TAKEN = new HashSet<>();

  final String name;
  final int callerPort;
  private final int readinessPort;
  private final int lookupPort;
  private final Path folder;
  private final Recorder recorder;
  private Process process;

  EntryVm(Recorder recorder, Path work, String name, String zone, String region, String store)
      throws IOException {
    this.recorder = recorder;
    this.name = name;
    this.folder = Files.createDirectories(work.resolve(name));
    int[] ports = freePorts(5);
    this.callerPort = ports[0];
    this.readinessPort = ports[1];
    this.lookupPort = ports[2];
    Files.writeString(
        folder.resolve("settings.json"),
        Json.write(settings(ports, zone, region, store)));
  }

  /** Returns what the template of the settings yields with the bounds of the small sites. */
  private Map<String, Object> settings(int[] ports, String zone, String region, String store) {
    Map<String, Object> settings = new TreeMap<>();
    settings.put("vm", name);
    settings.put("zone", zone);
    settings.put("region", region);
    settings.put("regions", Map.of(zone, region));
    settings.put("callerAddress", "127.0.0.1:" + ports[0]);
    settings.put("readinessAddress", "127.0.0.1:" + ports[1]);
    settings.put("lookupAddress", "127.0.0.1:" + ports[2]);
    settings.put("peerAddress", "127.0.0.1:" + ports[3]);
    settings.put("metricsAddress", "127.0.0.1:" + ports[4]);
    settings.put("platformAddress", store);
    settings.put("seedHosts", List.of());
    settings.put("answerLifetimeMillis", 4000L);
    settings.put("stopWithinSeconds", 6L);
    settings.put("repeatShare", 0.2);
    settings.put("repeatReserve", 120L);
    settings.put("movedShare", 0.15);
    settings.put("cores", 1L);
    settings.put("cpuShare", 0.42);
    settings.put("maxDescriptors", 2870L);
    settings.put("logLevel", "info");
    return settings;
  }

  /** Returns free ports below those that the system gives to outgoing connections. */
  private static int[] freePorts(int count) throws IOException {
    int[] ports = new int[count];
    for (int i = 0; i < count; ) {
      int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
      if (!TAKEN.add(port)) {
        continue;
      }
      try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        ports[i++] = free.getLocalPort();
      } catch (BindException e) {
        // Another process uses it.
      }
    }
    return ports;
  }

  void start() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no run line");
    }
    ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" +"));
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("MUSTARDSTAGE_SETTINGS", folder.resolve("settings.json").toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve("output.txt").toFile()));
    process = builder.start();
    recorder.add("entry VM " + name + " is started");
  }

  boolean isReady() {
    try (Socket socket = new Socket("127.0.0.1", readinessPort)) {
      socket.setSoTimeout(1_000);
      socket
          .getOutputStream()
          .write("GET /v1/readiness HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n".getBytes());
      Http.Message response = Http.read(socket.getInputStream());
      return response != null && response.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Returns how many entry VMs a look-up for {@code host} names. */
  int lookup(String host, String region, String zone) {
    try (Socket socket = new Socket("127.0.0.1", lookupPort)) {
      socket.setSoTimeout(1_000);
      String target = "/v1/resolution?name=" + host + "&region=" + region + "&zone=" + zone;
      socket
          .getOutputStream()
          .write(("GET " + target + " HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n").getBytes());
      Http.Message response = Http.read(socket.getInputStream());
      return response == null || response.status() != 200
          ? 0
          : ((List<?>) ((Map<?, ?>) Json.read(response.text())).get("addrs")).size();
    } catch (IOException e) {
      return 0;
    }
  }

  void kill() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
