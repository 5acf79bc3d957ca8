package org.mustardstage.standins.bench.policies;

/** An entry VM of the model. */
interface EntryModel {
  /** Takes an attempt that has arrived. */
  void arrive(Attempt attempt);

  /** Sends what waits, when permits became free or time passed. */
  void dispatch();

  /** Takes the load reports that entry VMs pass on to each other. */
  void onReports();

  /** Takes over whether an endpoint leaves by the manifest. */
  void onDrain(ModelEndpoint endpoint);
}
