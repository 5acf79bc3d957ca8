package org.mustardstage.core.placement;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;

/**
 * Holds back reports of lost attempts until it is known whether this VM's own links caused them.
 *
 * <p>Handles a VM whose connections are reset or die with its links: it loses all attempts at once,
 * and its reports would block harmless requests at all VMs. A report is due when an endpoint has
 * answered on a connection that was begun after the loss. If the VM turns out to be cut off, the
 * reports say nothing.
 *
 * @param <T> the type of a report
 */
public final class LossReports<T> {
  private final EndpointReachability reachability;
  private final List<Pending<T>> pending = new ArrayList<>();

  private record Pending<T>(long lostNanos, T report) {}

  /** Creates an empty set of reports of the VM whose links {@code reachability} judges. */
  public LossReports(EndpointReachability reachability) {
    this.reachability = reachability;
  }

  /** Adds the report of an attempt that was lost at {@code lostNanos}. */
  public void add(long lostNanos, T report) {
    if (!reachability.isCutOff()) {
      pending.add(new Pending<>(lostNanos, report));
    }
  }

  /** Removes and returns the reports that are due. */
  public ImmutableList<T> takeDue() {
    List<Pending<T>> due =
        pending.stream().filter(each -> reachability.hasAnsweredSince(each.lostNanos())).toList();
    pending.removeAll(due);
    return due.stream().map(Pending::report).collect(ImmutableList.toImmutableList());
  }

  /** Drops the reports that are not due, as this VM is cut off; returns how many there were. */
  public int drop() {
    int count = pending.size();
    pending.clear();
    return count;
  }
}
