package org.mustardstage.entry.platform;

import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.util.List;
import org.mustardstage.core.member.Member;

/** The platform's list of live and leaving VMs. It is updated with a delay. */
public interface VmList {
  /** Returns the listed VMs. */
  Promise<Either<PlatformFailure, List<Member>>> read();

  /** Registers this incarnation of a VM in the list, as live or as leaving. */
  Promise<Either<PlatformFailure, Void>> announce(Member self);
}
