package org.mustardstage.standins.platform;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.mustardstage.standins.http.StandInServer;

/** Runs the stand-in for the platform. */
@Command(name = "mustardstage-platform", description = "Stand-in for the platform, for tests")
public final class PlatformMain {
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_FAILED = 1;

  @Option(
      name = {"--address"},
      description = "IP address to listen on")
  private String address = "127.0.0.1";

  @Option(
      name = {"--port"},
      description = "Port to listen on; 0 chooses a free port")
  private int port = 7100;

  /** Runs the process until it receives a signal. */
  public static void main(String[] arguments) throws InterruptedException {
    try {
      SingleCommand.singleCommand(PlatformMain.class).parse(arguments).run();
    } catch (ParseException e) {
      System.err.println("mustardstage-platform: " + e.getMessage());
      System.exit(EXIT_USAGE);
    } catch (IOException e) {
      System.err.println(
          "mustardstage-platform: can't listen on --address and --port: " + e.getMessage());
      System.exit(EXIT_FAILED);
    }
  }

  private void run() throws IOException, InterruptedException {
    StandInServer server = start(new InetSocketAddress(address, port));
    System.out.println("ready " + server.address().getPort());
    server.awaitTermination();
  }

  /**
   * Starts a stand-in.
   *
   * @throws IOException if the server can't listen on {@code address}
   */
  public static StandInServer start(InetSocketAddress address) throws IOException {
    return StandInServer.start(address, PlatformServlet::new, openConnections -> false);
  }
}
