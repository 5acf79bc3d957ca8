package org.mustardstage.entry.platform;

import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.util.List;
import org.mustardstage.core.member.Member;

/** The platform's list of live and leaving VMs, which lags. */
public interface VmList {
  /** Returns the VMs in the list. */
  Promise<Either<PlatformFailure, List<Member>>> read();

  /** Announces this run of a VM, or that it is leaving. */
  Promise<Either<PlatformFailure, Void>> announce(Member self);
}
