package org.mustardstage.cli;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.github.rvesse.airline.annotations.Option;
import com.google.common.base.Splitter;
import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.util.ArrayList;
import java.util.List;

/** The options that say which entry VMs to ask. */
public final class ConnectionOptions {
  private static final String ENVIRONMENT_VARIABLE = "MUSTARDSTAGE_ADMIN";
  private static final int DEFAULT_ADMIN_PORT = 7002;

  @Option(
      name = {"--vm"},
      title = "host:port",
      description =
          "Admin address of an entry VM to ask; may be given again, the first that can be reached"
              + " is used; else the addresses in MUSTARDSTAGE_ADMIN, separated by commas")
  private List<String> addresses = new ArrayList<>();

  /** Creates the options; their fields are set from the command line. */
  public ConnectionOptions() {}

  /** Returns a client of the entry VMs. */
  OperatorClient client() {
    return new OperatorClient(entryVms());
  }

  private List<HostAndPort> entryVms() {
    return addressTexts().stream()
        .map(HostAndPort::fromString)
        .map(address -> address.withDefaultPort(DEFAULT_ADMIN_PORT))
        .collect(toImmutableList());
  }

  private List<String> addressTexts() {
    String environment = Strings.nullToEmpty(System.getenv(ENVIRONMENT_VARIABLE));
    return addresses.isEmpty()
        ? ImmutableList.copyOf(Splitter.on(',').trimResults().omitEmptyStrings().split(environment))
        : addresses;
  }
}
