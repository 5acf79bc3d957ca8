package org.mustardstage.entry.gateway;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.vavr.control.Either;
import org.mustardstage.core.gateway.GatewayConfig;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.entry.platform.VmList;

/**
 * Connects an entry VM to a platform: provides the platform's store, decodes the rows in it, and
 * defines the header names that callers and endpoints use.
 */
public interface PlatformAdapter {
  /** The tables of which an entry VM keeps a replica. */
  enum Table {
    /** What operators write: the configuration and the zones to evacuate. */
    OPERATOR,
    /** The registrations of endpoints. */
    ENDPOINTS
  }

  /** The decoded content of a row in the operators' table. */
  sealed interface OperatorRow {
    /** A version of the configuration. */
    record Config(GatewayConfig config) implements OperatorRow {}

    /** A zone that is to be evacuated for as long as the row exists. */
    record Evacuation(ZoneId zone) implements OperatorRow {}

    /** A row that entry VMs ignore. */
    record Other() implements OperatorRow {}
  }

  /** Returns the header names that callers and endpoints of the platform use. */
  HeaderNames headerNames();

  /** Returns a client of the platform's store, to be used on {@code eventloop} only. */
  RowStore rowStore(Eventloop eventloop);

  /** Returns a client of the platform's list of VMs, to be used on {@code eventloop} only. */
  VmList vmList(Eventloop eventloop);

  /** Returns the decoded row of the operators' table, or the reason why it can't be decoded. */
  Either<String, OperatorRow> readOperatorRow(String key, byte[] value);

  /** Returns the decoded registration of an endpoint, or the reason why it can't be decoded. */
  Either<String, RegisteredEndpoint> readEndpoint(String key, byte[] value);

  /** Returns the servlet that tells the platform whether the VM accepts callers. */
  AsyncServlet readinessServlet(Eventloop eventloop, GatewayStatus status);

  /** Returns the servlet that tells callers which VMs to connect to. */
  AsyncServlet lookupServlet(Eventloop eventloop, GatewayStatus status);
}
