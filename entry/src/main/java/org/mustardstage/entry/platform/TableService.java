package org.mustardstage.entry.platform;

import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/** The transactional table service of the platform. */
public interface TableService {
  /** Returns the row with {@code key}, if it exists. */
  Promise<Either<PlatformFailure, Optional<Row>>> read(String key);

  /** Returns the rows whose keys start with {@code prefix}, sorted by key. */
  Promise<Either<PlatformFailure, List<Row>>> scan(String prefix);

  /** Commits {@code transaction}. The promise never fails, since every failure is a result. */
  Promise<TransactionResult> commit(Transaction transaction);
}
