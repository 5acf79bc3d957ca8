package org.mustardstage.entry.control;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.mustardstage.core.config.ConfigHead;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.ManifestProblem;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;
import org.mustardstage.entry.platform.ObjectStore;
import org.mustardstage.entry.platform.PlatformFailure;
import org.mustardstage.entry.platform.Row;
import org.mustardstage.entry.platform.TableService;
import org.mustardstage.entry.platform.Transaction;
import org.mustardstage.entry.platform.TransactionResult;
import org.mustardstage.schema.ManifestParts;
import org.mustardstage.schema.ManifestReader;

/**
 * Takes submissions: checks the whole manifest, stores its parts, and moves the head from one
 * version to the next in a single transaction that also writes the audit row and the submission
 * row. Used on the control thread only.
 */
final class SubmissionService {
  private static final int SETTLE_TRIES = 4;
  private static final Duration SETTLE_GAP = Duration.ofMillis(400);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final TableService table;
  private final ObjectStore objects;
  private final Executor reader;
  private final LongSupplier wallClockMillis;
  private final Function<Manifest, List<SubmissionEnd.ProblemText>> check;
  private final Predicate<String> isStored;
  private final Consumer<ConfigHead> onAccepted;

  /**
   * Creates the service.
   *
   * @param reader where manifests are read, as a large one takes long
   * @param check finds what the state of the system forbids of a manifest that is valid by itself
   * @param isStored tells of hashes whose objects are surely in the object store
   * @param onAccepted told of each accepted manifest
   */
  SubmissionService(
      TableService table,
      ObjectStore objects,
      Executor reader,
      LongSupplier wallClockMillis,
      Function<Manifest, List<SubmissionEnd.ProblemText>> check,
      Predicate<String> isStored,
      Consumer<ConfigHead> onAccepted) {
    this.table = table;
    this.objects = objects;
    this.reader = reader;
    this.wallClockMillis = wallClockMillis;
    this.check = check;
    this.isStored = isStored;
    this.onAccepted = onAccepted;
  }

  Promise<SubmissionEnd> submit(Submission submission) {
    return Promise.ofBlocking(reader, () -> readManifest(submission))
        .then(
            read ->
                read.fold(
                    problems -> Promise.of(new SubmissionEnd.Invalid(problems)),
                    manifest -> submit(submission, manifest)))
        .whenResult(end -> log(submission, end));
  }

  private Promise<SubmissionEnd> submit(Submission submission, Manifest manifest) {
    return findEarlier(submission)
        .then(earlier -> earlier.fold(Promise::of, none -> accept(submission, manifest)));
  }

  private Either<List<SubmissionEnd.ProblemText>, Manifest> readManifest(Submission submission) {
    return ManifestReader.read(submission.manifestYaml())
        .mapLeft(problems -> problems.stream().map(SubmissionService::toText).toList())
        .flatMap(this::checkAgainstState);
  }

  private static SubmissionEnd.ProblemText toText(ManifestProblem problem) {
    return new SubmissionEnd.ProblemText(
        problem.getClass().getSimpleName(), problem.path(), problem.description());
  }

  private Either<List<SubmissionEnd.ProblemText>, Manifest> checkAgainstState(Manifest manifest) {
    List<SubmissionEnd.ProblemText> problems = check.apply(manifest);
    return problems.isEmpty() ? Either.right(manifest) : Either.left(problems);
  }

  /** Returns, on the left, how an earlier try of the same submission ended. */
  private Promise<Either<SubmissionEnd, Void>> findEarlier(Submission submission) {
    return table
        .read(Rows.submissionKey(submission.id()))
        .map(
            row ->
                row.fold(
                    failure -> Either.left(new SubmissionEnd.PlatformUnavailable(failure)),
                    found ->
                        found
                            .flatMap(Rows::toVersion)
                            .<Either<SubmissionEnd, Void>>map(
                                version -> Either.left(new SubmissionEnd.Accepted(version)))
                            .orElse(Either.right(null))));
  }

  private Promise<SubmissionEnd> accept(Submission submission, Manifest manifest) {
    return table
        .read(Rows.HEAD_KEY)
        .then(
            read ->
                read.fold(
                    failure -> Promise.of(new SubmissionEnd.PlatformUnavailable(failure)),
                    row -> acceptOver(submission, manifest, row)));
  }

  private Promise<SubmissionEnd> acceptOver(
      Submission submission, Manifest manifest, Optional<Row> headRow) {
    ConfigHead current = headRow.flatMap(Rows::toHead).orElse(ConfigHead.NONE);
    if (!current.version().equals(submission.baseVersion())) {
      return settleConflict(submission);
    }
    long headRevision = headRow.map(Row::revision).orElse(Transaction.ABSENT);
    return Promise.ofBlocking(reader, () -> ManifestParts.split(manifest))
        .then(parts -> storeAndCommit(submission, parts, current.version().next(), headRevision));
  }

  private Promise<SubmissionEnd> storeAndCommit(
      Submission submission, ManifestParts parts, ConfigVersion version, long headRevision) {
    ConfigHead head = new ConfigHead(version, parts.rootHash());
    return storeParts(parts)
        .then(
            failure ->
                failure.isPresent()
                    ? Promise.of(new SubmissionEnd.PlatformUnavailable(failure.get()))
                    : commit(submission, head, headRevision));
  }

  private Promise<Optional<PlatformFailure>> storeParts(ManifestParts parts) {
    List<Promise<Either<PlatformFailure, String>>> puts = new ArrayList<>();
    parts.objects().entrySet().stream()
        .filter(object -> !isStored.test(object.getKey()))
        .map(object -> objects.put(object.getValue().getBytes(StandardCharsets.UTF_8)))
        .forEach(puts::add);
    return Promises.toList(puts)
        .map(ends -> ends.stream().filter(Either::isLeft).map(Either::getLeft).findFirst());
  }

  private Promise<SubmissionEnd> commit(Submission submission, ConfigHead head, long headRevision) {
    return table
        .commit(transaction(submission, head, headRevision))
        .then(
            end ->
                switch (end) {
                  case TransactionResult.Committed committed -> Promise.of(accepted(head));
                  case TransactionResult.ConditionFailed failed -> settleConflict(submission);
                  case TransactionResult.Unavailable unavailable ->
                      Promise.of(new SubmissionEnd.PlatformUnavailable(unavailable.failure()));
                  case TransactionResult.OutcomeUnknown unknown ->
                      settleUnknown(submission, head, unknown.failure(), SETTLE_TRIES);
                });
  }

  private Transaction transaction(Submission submission, ConfigHead head, long headRevision) {
    String submissionKey = Rows.submissionKey(submission.id());
    return new Transaction(
        ImmutableList.of(
            new Transaction.Condition(Rows.HEAD_KEY, headRevision),
            new Transaction.Condition(submissionKey, Transaction.ABSENT)),
        ImmutableList.of(
            Transaction.Write.set(Rows.HEAD_KEY, Rows.fromHead(head)),
            Transaction.Write.set(submissionKey, Rows.fromHead(head)),
            Transaction.Write.set(Rows.auditKey(head.version()), audit(submission, head))));
  }

  private String audit(Submission submission, ConfigHead head) {
    return MAPPER
        .createObjectNode()
        .put("version", head.version().number())
        .put("submissionId", submission.id().value())
        .put("submitter", submission.submitter())
        .put("hash", head.rootHash())
        .put("timeMillis", wallClockMillis.getAsLong())
        .put("summary", "from version " + submission.baseVersion())
        .toString();
  }

  private SubmissionEnd accepted(ConfigHead head) {
    onAccepted.accept(head);
    return new SubmissionEnd.Accepted(head.version());
  }

  /** A condition failed: by another submission, or by an earlier try whose answer was lost. */
  private Promise<SubmissionEnd> settleConflict(Submission submission) {
    return findEarlier(submission)
        .then(earlier -> earlier.fold(Promise::of, none -> readConflict()));
  }

  private Promise<SubmissionEnd> readConflict() {
    return table
        .read(Rows.HEAD_KEY)
        .map(
            read ->
                read.fold(
                    SubmissionEnd.PlatformUnavailable::new,
                    row ->
                        new SubmissionEnd.Conflict(
                            row.flatMap(Rows::toVersion).orElse(ConfigVersion.NONE))));
  }

  /** An answer was lost: the submission row tells, if the platform answers soon. */
  private Promise<SubmissionEnd> settleUnknown(
      Submission submission, ConfigHead head, PlatformFailure failure, int triesLeft) {
    if (triesLeft == 0) {
      return Promise.of(new SubmissionEnd.OutcomeUnknown(failure));
    }
    return Promises.delay(SETTLE_GAP)
        .then(() -> table.read(Rows.submissionKey(submission.id())))
        .then(
            read -> {
              Optional<ConfigVersion> version =
                  read.toJavaOptional().flatMap(row -> row).flatMap(Rows::toVersion);
              return version.isPresent()
                  ? Promise.of(accepted(head))
                  : settleUnknown(submission, head, failure, triesLeft - 1);
            });
  }

  private static void log(Submission submission, SubmissionEnd end) {
    Event event =
        end instanceof SubmissionEnd.Accepted ? Event.MANIFEST_ACCEPTED : Event.SUBMISSION_REFUSED;
    EventLog.log(event, "submission", submission.id(), "by", submission.submitter(), "end", end);
  }
}
