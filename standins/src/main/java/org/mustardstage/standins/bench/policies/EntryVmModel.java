package org.mustardstage.standins.bench.policies;

/** A simulated entry VM. */
interface EntryVmModel {
  /** Enqueues, sends or rejects a request that arrived from a caller. */
  void handleRequest(CallerRequest request);

  /** Sends queued requests; runs when a permit was released and periodically. */
  void dispatch();

  /** Applies the load reports that entry VMs exchange with each other. */
  void updateLoadReports();

  /** Stops sending to an endpoint that the manifest drains. */
  void startDrain(EndpointModel endpoint);
}
