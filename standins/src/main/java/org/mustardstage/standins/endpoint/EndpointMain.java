package org.mustardstage.standins.endpoint;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.schema.generated.EndpointProfile;
import org.mustardstage.standins.http.InputFiles;
import org.mustardstage.standins.http.InvalidInputException;
import org.mustardstage.standins.http.StandInServer;

/** Runs stand-ins for endpoints that a manifest declares. */
@Command(name = "mustardstage-endpoint", description = "Stand-in for endpoints, for tests")
public final class EndpointMain {
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;

  @Option(
      name = {"--manifest"},
      description = "File of the manifest that declares the endpoints")
  @Required
  private String manifestFile;

  @Option(
      name = {"--profile"},
      description = "File with the service times and load reporting of the endpoints")
  @Required
  private String profileFile;

  @Option(
      name = {"--endpoint"},
      description =
          "Name of an endpoint to run; can be repeated; default: all endpoints of the manifest")
  private List<String> names = new ArrayList<>();

  /** Runs the process until it receives a signal. */
  public static void main(String[] arguments) throws InterruptedException {
    try {
      SingleCommand.singleCommand(EndpointMain.class).parse(arguments).run();
    } catch (ParseException | InvalidInputException e) {
      System.err.println("mustardstage-endpoint: " + e.getMessage());
      System.exit(EXIT_USAGE);
    } catch (IOException e) {
      System.err.println(
          "mustardstage-endpoint: can't listen on an endpoint address: " + e.getMessage());
      System.exit(EXIT_FAILED);
    }
  }

  private void run() throws IOException, InvalidInputException, InterruptedException {
    Manifest manifest = InputFiles.readManifest(manifestFile);
    EndpointProfile profile = InputFiles.readSettings(profileFile, EndpointProfile.class);
    List<StandInServer> servers = new ArrayList<>();
    for (Endpoint endpoint : selectEndpoints(manifest)) {
      servers.add(start(endpoint, profile));
    }
    System.out.println("ready");
    for (StandInServer server : servers) {
      server.awaitTermination();
    }
  }

  private List<Endpoint> selectEndpoints(Manifest manifest) throws InvalidInputException {
    List<Endpoint> all =
        manifest.services().stream().flatMap(service -> service.endpoints().stream()).toList();
    for (String name : names) {
      if (all.stream().noneMatch(endpoint -> endpoint.id().value().equals(name))) {
        throw new InvalidInputException("the manifest declares no endpoint " + name);
      }
    }
    return all.stream()
        .filter(endpoint -> names.isEmpty() || names.contains(endpoint.id().value()))
        .toList();
  }

  /**
   * Starts a stand-in for {@code endpoint}.
   *
   * @throws IOException if the server can't listen on the address of the endpoint
   */
  public static StandInServer start(Endpoint endpoint, EndpointProfile profile) throws IOException {
    EndpointServlet[] servlet = new EndpointServlet[1];
    return StandInServer.start(
        socketAddress(endpoint.address()),
        eventloop -> {
          servlet[0] = new EndpointServlet(eventloop, endpoint, profile);
          return servlet[0];
        },
        openConnections -> {
          boolean refused = openConnections >= endpoint.connections();
          if (refused) {
            servlet[0].recordRefusedConnection();
          }
          return refused;
        });
  }

  private static InetSocketAddress socketAddress(HostAndPort address) throws IOException {
    return new InetSocketAddress(InetAddress.getByName(address.host()), address.port());
  }
}
