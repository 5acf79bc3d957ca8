package org.mustardstage.entry.gateway;

import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.util.List;
import org.mustardstage.core.member.Member;
import org.mustardstage.entry.platform.PlatformFailure;
import org.mustardstage.entry.platform.VmList;

/** A list of VMs that rejects every call. */
final class RejectingVmList implements VmList {
  @Override
  public Promise<Either<PlatformFailure, List<Member>>> read() {
    return Promise.of(Either.left(new PlatformFailure.Refused(503)));
  }

  @Override
  public Promise<Either<PlatformFailure, Void>> announce(Member self) {
    return Promise.of(Either.left(new PlatformFailure.Refused(503)));
  }
}
