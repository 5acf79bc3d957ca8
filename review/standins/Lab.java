import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: the store and entry VMs as processes. */
final class Lab implements AutoCloseable {
  static final String HOST = "shop.example";

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Path repository = Path.of("").toAbsolutePath();
  final Path work;
  final Record record;
  final Store store;
  final List<Vm> vms = new ArrayList<>();
  final List<AutoCloseable> closeables = new ArrayList<>();
  private int descriptors;

  Lab(Path folder) throws IOException {
    work = Files.createTempDirectory("review");
    record = new Record(folder.resolve("record.txt"));
    store = new Store("127.0.0.1");
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  Vm startVm(String name, String host, String zone, String extraSettings) throws IOException {
    return startVm(name, host, zone, extraSettings, store.address());
  }

  /** Starts an entry VM that reaches the store at {@code storeAddress}. */
  Vm startVm(String name, String host, String zone, String extraSettings, String storeAddress)
      throws IOException {
    Vm vm = new Vm(name, host, zone, extraSettings, storeAddress);
    vms.add(vm);
    vm.start();
    return vm;
  }

  Target target(String host, String id, String service, String zone, int slots, long workMillis)
      throws IOException {
    Target target = new Target(store, record, host, id, service, zone, slots, workMillis);
    closeables.add(target);
    return target;
  }

  /** Waits until all VMs answer their readiness checks with 200. */
  void awaitReady(long seconds) throws IOException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    for (Vm vm : vms) {
      while (!vm.isReady()) {
        if (System.nanoTime() - deadline > 0) {
          throw new IOException(vm.name + " did not become ready; its log: " + vm.log);
        }
        sleep(100);
      }
    }
  }

  private void killAll() {
    vms.forEach(Vm::kill);
  }

  @Override
  public void close() {
    killAll();
    for (AutoCloseable each : closeables) {
      try {
        each.close();
      } catch (Exception e) {
        record.note("could not close: " + e);
      }
    }
    try {
      store.close();
      if (System.getenv("KEEP_LOGS") == null) {
        try (Stream<Path> files = Files.walk(work)) {
          files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
      } else {
        record.note("logs: " + work);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    record.close();
  }

  /** An entry VM, started by the run line of the deploy file. */
  final class Vm {
    final String name;
    final String host;
    final int callerPort;
    final Path log;
    private final int readyPort;
    private final Path settings;
    private Process process;

    private Vm(String name, String host, String zone, String extraSettings, String storeAddress)
        throws IOException {
      this.name = name;
      this.host = host;
      int[] ports = freePorts(host, 5);
      callerPort = ports[0];
      readyPort = ports[1];
      log = work.resolve(name + ".log");
      settings = work.resolve(name + ".json");
      Files.writeString(
          settings,
          "{\"vm\":\"" + name + "\",\"zone\":\"" + zone + "\",\"region\":\"north\","
              + "\"regions\":{\"north-a\":\"north\",\"north-b\":\"north\"},"
              + "\"callerAddress\":\"" + host + ":" + ports[0] + "\","
              + "\"readinessAddress\":\"" + host + ":" + ports[1] + "\","
              + "\"lookupAddress\":\"" + host + ":" + ports[2] + "\","
              + "\"peerAddress\":\"" + host + ":" + ports[3] + "\","
              + "\"metricsAddress\":\"" + host + ":" + ports[4] + "\","
              + "\"platformAddress\":\"" + storeAddress + "\",\"seedHosts\":[],"
              + "\"answerLifetimeMillis\":4000,\"stopWithinSeconds\":6,\"repeatShare\":0.2,"
              + "\"repeatReserve\":120,\"movedShare\":0.15,\"cores\":1,\"cpuShare\":0.42,"
              + extraSettings + "\"logLevel\":\"info\"}");
    }

    void start() throws IOException {
      ProcessBuilder builder = new ProcessBuilder(runLine());
      builder.directory(repository.toFile());
      builder.environment().keySet().retainAll(List.of("PATH", "HOME", "LANG"));
      builder.environment().put("MUSTARDSTAGE_SETTINGS", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = builder.start();
      record.add("start", name, "-", "process " + process.pid());
    }

    long pid() {
      return process.pid();
    }

    boolean isAlive() {
      return process.isAlive();
    }

    void signal(String signal) throws IOException {
      record.add("signal", name, "-", signal);
      try {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    void kill() {
      process.destroyForcibly();
    }

    /** Opens a connection on which the platform can ask whether the VM is ready. */
    Socket connectReadiness() throws IOException {
      Socket socket = new Socket();
      socket.connect(new InetSocketAddress(host, readyPort), 1_000);
      socket.setSoTimeout(1_000);
      return socket;
    }

    boolean isReady() {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(host, readyPort), 500);
        socket.setSoTimeout(500);
        socket
            .getOutputStream()
            .write("GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
        Http.Message response = Http.readResponse(socket.getInputStream());
        return response != null && response.status() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    Socket connect() throws IOException {
      Socket socket = new Socket();
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(host, callerPort), 1_000);
      return socket;
    }
  }

  /** Limits the descriptors of the VMs that are started from now on, as their machines do. */
  void limitDescriptors(int count) {
    descriptors = count;
  }

  private List<String> runLine() throws IOException {
    for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        String command = line.substring("run = ".length()).replace("\"", "").trim();
        return descriptors == 0
            ? Arrays.asList(command.split(" "))
            : List.of("/bin/bash", "-c", "set -f; ulimit -n " + descriptors + "; exec " + command);
      }
    }
    throw new IOException("deploy/system.toml has no run line");
  }

  static int[] freePorts(String host, int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    int[] ports = new int[count];
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host));
      sockets.add(socket);
      ports[i] = socket.getLocalPort();
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }
}
