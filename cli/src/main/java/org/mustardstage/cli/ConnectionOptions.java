package org.mustardstage.cli;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.github.rvesse.airline.annotations.Option;
import com.google.common.base.Splitter;
import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.util.ArrayList;
import java.util.List;

/** The options that name the entry VMs to connect to. */
public final class ConnectionOptions {
  private static final String ENVIRONMENT_VARIABLE = "MUSTARDSTAGE_ADMIN";
  private static final int DEFAULT_ADMIN_PORT = 7002;

  @Option(
      name = {"--vm"},
      title = "host:port",
      description =
          "Admin address of an entry VM. May be repeated: the first reachable one is used."
              + " Defaults to the comma-separated addresses in MUSTARDSTAGE_ADMIN")
  private List<String> addresses = new ArrayList<>();

  /** Creates the options. The command-line parser sets their fields. */
  public ConnectionOptions() {}

  /** Returns a client that calls the named entry VMs. */
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
