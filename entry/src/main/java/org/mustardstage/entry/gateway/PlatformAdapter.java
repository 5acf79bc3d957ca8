package org.mustardstage.entry.gateway;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.vavr.control.Either;
import org.mustardstage.core.gateway.GatewayConfig;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.entry.platform.VmList;

/**
 * What an adapter gives the entry VM of a platform: its store, the meaning of the rows in it, and
 * the words that callers and endpoints use.
 */
public interface PlatformAdapter {
  /** The tables that an entry VM follows. */
  enum Table {
    /** What operators want: the configuration and the zones to evacuate. */
    OPERATOR,
    /** The entries of endpoints. */
    ENDPOINTS
  }

  /** What a row of the operators says. */
  sealed interface OperatorRow {
    /** The configuration. */
    record Config(GatewayConfig config) implements OperatorRow {}

    /** A zone is to be evacuated for as long as the row exists. */
    record Evacuation(ZoneId zone) implements OperatorRow {}

    /** A row that says nothing to entry VMs. */
    record Other() implements OperatorRow {}
  }

  /** Returns the header names in use. */
  HeaderNames headerNames();

  /** Returns the platform's tables, to be used on {@code eventloop} only. */
  RowStore rowStore(Eventloop eventloop);

  /** Returns the list of VMs, to be used on {@code eventloop} only. */
  VmList vmList(Eventloop eventloop);

  /** Returns what a row of the operators says, or why it can't be read. */
  Either<String, OperatorRow> readOperatorRow(String key, byte[] value);

  /** Returns the entry of an endpoint, or why it can't be read. */
  Either<String, RegisteredEndpoint> readEndpoint(String key, byte[] value);

  /** Returns what answers the platform's question whether the VM takes callers. */
  AsyncServlet readinessServlet(Eventloop eventloop, GatewayStatus status);

  /** Returns what tells callers which VMs to connect to. */
  AsyncServlet lookupServlet(Eventloop eventloop, GatewayStatus status);
}
