package org.mustardstage.entry.traffic;

import io.activej.dns.IDnsClient;
import io.activej.dns.protocol.DnsQuery;
import io.activej.dns.protocol.DnsResourceRecord;
import io.activej.dns.protocol.DnsResponse;
import io.activej.dns.protocol.DnsTransaction;
import io.activej.promise.Promise;
import java.net.InetAddress;

/** Resolves every name to one address, because endpoints are configured by IP address. */
final class FixedAddressDnsClient implements IDnsClient {
  private final Promise<DnsResponse> response;

  FixedAddressDnsClient(InetAddress address) {
    DnsQuery query = DnsQuery.ipv4(address.getHostAddress());
    DnsResourceRecord resourceRecord =
        DnsResourceRecord.of(new InetAddress[] {address}, Integer.MAX_VALUE);
    response = Promise.of(DnsResponse.of(DnsTransaction.of((short) 0, query), resourceRecord));
  }

  @Override
  public Promise<DnsResponse> resolve(DnsQuery query) {
    return response;
  }

  @Override
  public void close() {}
}
