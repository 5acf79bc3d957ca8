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
 * Processes submissions: checks the whole manifest, stores its parts, and advances the head to the
 * next version in a single transaction that also writes the audit row and the submission row. The
 * submission row makes retries of a submission idempotent. Used on the control thread only.
 */
final class SubmissionService {
  private static final int MAX_RESOLVE_ATTEMPTS = 4;
  private static final Duration RESOLVE_RETRY_DELAY = Duration.ofMillis(400);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final TableService table;
  private final ObjectStore objects;
  private final Executor manifestReader;
  private final LongSupplier wallClockMillis;
  private final Function<Manifest, List<SubmissionResult.ProblemText>> stateCheck;
  private final Predicate<String> isStored;
  private final Consumer<ConfigHead> onAccepted;

  /**
   * Creates the service.
   *
   * @param manifestReader the executor that parses manifests, because a large one takes long
   * @param stateCheck finds conflicts of a valid manifest with the current state of the system
   * @param isStored returns whether the object with a hash is known to be in the object store
   * @param onAccepted called with the head of each accepted manifest
   */
  SubmissionService(
      TableService table,
      ObjectStore objects,
      Executor manifestReader,
      LongSupplier wallClockMillis,
      Function<Manifest, List<SubmissionResult.ProblemText>> stateCheck,
      Predicate<String> isStored,
      Consumer<ConfigHead> onAccepted) {
    this.table = table;
    this.objects = objects;
    this.manifestReader = manifestReader;
    this.wallClockMillis = wallClockMillis;
    this.stateCheck = stateCheck;
    this.isStored = isStored;
    this.onAccepted = onAccepted;
  }

  Promise<SubmissionResult> submit(Submission submission) {
    return Promise.ofBlocking(manifestReader, () -> readManifest(submission))
        .then(
            read ->
                read.fold(
                    problems -> Promise.of(new SubmissionResult.Invalid(problems)),
                    manifest -> submit(submission, manifest)))
        .whenResult(result -> log(submission, result));
  }

  private Promise<SubmissionResult> submit(Submission submission, Manifest manifest) {
    return findEarlierResult(submission)
        .then(earlier -> earlier.fold(Promise::of, none -> accept(submission, manifest)));
  }

  private Either<List<SubmissionResult.ProblemText>, Manifest> readManifest(Submission submission) {
    return ManifestReader.read(submission.manifestYaml())
        .mapLeft(problems -> problems.stream().map(SubmissionService::toText).toList())
        .flatMap(this::checkAgainstState);
  }

  private static SubmissionResult.ProblemText toText(ManifestProblem problem) {
    return new SubmissionResult.ProblemText(
        problem.getClass().getSimpleName(), problem.path(), problem.description());
  }

  private Either<List<SubmissionResult.ProblemText>, Manifest> checkAgainstState(
      Manifest manifest) {
    List<SubmissionResult.ProblemText> problems = stateCheck.apply(manifest);
    return problems.isEmpty() ? Either.right(manifest) : Either.left(problems);
  }

  /**
   * Returns, on the left, the result of an earlier attempt of the same submission, or the failure
   * to read it; the right means that there was none.
   */
  private Promise<Either<SubmissionResult, Void>> findEarlierResult(Submission submission) {
    return table
        .read(TableRows.submissionKey(submission.id()))
        .map(
            row ->
                row.fold(
                    failure -> Either.left(new SubmissionResult.PlatformUnavailable(failure)),
                    found ->
                        found
                            .flatMap(TableRows::toVersion)
                            .<Either<SubmissionResult, Void>>map(
                                version -> Either.left(new SubmissionResult.Accepted(version)))
                            .orElse(Either.right(null))));
  }

  private Promise<SubmissionResult> accept(Submission submission, Manifest manifest) {
    return table
        .read(TableRows.HEAD_KEY)
        .then(
            read ->
                read.fold(
                    failure -> Promise.of(new SubmissionResult.PlatformUnavailable(failure)),
                    row -> acceptIfBaseIsCurrent(submission, manifest, row)));
  }

  private Promise<SubmissionResult> acceptIfBaseIsCurrent(
      Submission submission, Manifest manifest, Optional<Row> headRow) {
    ConfigHead current = headRow.flatMap(TableRows::toHead).orElse(ConfigHead.NONE);
    if (!current.version().equals(submission.baseVersion())) {
      return resolveConflict(submission);
    }
    long headRevision = headRow.map(Row::revision).orElse(Transaction.ABSENT);
    return Promise.ofBlocking(manifestReader, () -> ManifestParts.split(manifest))
        .then(parts -> storeAndCommit(submission, parts, current.version().next(), headRevision));
  }

  private Promise<SubmissionResult> storeAndCommit(
      Submission submission, ManifestParts parts, ConfigVersion version, long headRevision) {
    ConfigHead head = new ConfigHead(version, parts.rootHash());
    return storeParts(parts)
        .then(
            failure ->
                failure.isPresent()
                    ? Promise.of(new SubmissionResult.PlatformUnavailable(failure.get()))
                    : commit(submission, head, headRevision));
  }

  private Promise<Optional<PlatformFailure>> storeParts(ManifestParts parts) {
    List<Promise<Either<PlatformFailure, String>>> puts = new ArrayList<>();
    parts.objects().entrySet().stream()
        .filter(object -> !isStored.test(object.getKey()))
        .map(object -> objects.put(object.getValue().getBytes(StandardCharsets.UTF_8)))
        .forEach(puts::add);
    return Promises.toList(puts)
        .map(results -> results.stream().filter(Either::isLeft).map(Either::getLeft).findFirst());
  }

  private Promise<SubmissionResult> commit(
      Submission submission, ConfigHead head, long headRevision) {
    return table
        .commit(transaction(submission, head, headRevision))
        .then(
            result ->
                switch (result) {
                  case TransactionResult.Committed committed -> Promise.of(accepted(head));
                  case TransactionResult.ConditionFailed failed -> resolveConflict(submission);
                  case TransactionResult.Unavailable unavailable ->
                      Promise.of(new SubmissionResult.PlatformUnavailable(unavailable.failure()));
                  case TransactionResult.OutcomeUnknown unknown ->
                      resolveUnknownOutcome(
                          submission, head, unknown.failure(), MAX_RESOLVE_ATTEMPTS);
                });
  }

  private Transaction transaction(Submission submission, ConfigHead head, long headRevision) {
    String submissionKey = TableRows.submissionKey(submission.id());
    return new Transaction(
        ImmutableList.of(
            new Transaction.Condition(TableRows.HEAD_KEY, headRevision),
            new Transaction.Condition(submissionKey, Transaction.ABSENT)),
        ImmutableList.of(
            Transaction.Write.set(TableRows.HEAD_KEY, TableRows.fromHead(head)),
            Transaction.Write.set(submissionKey, TableRows.fromHead(head)),
            Transaction.Write.set(
                TableRows.auditKey(head.version()), auditEntry(submission, head))));
  }

  private String auditEntry(Submission submission, ConfigHead head) {
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

  private SubmissionResult accepted(ConfigHead head) {
    onAccepted.accept(head);
    return new SubmissionResult.Accepted(head.version());
  }

  /**
   * Resolves a failed condition: another submission was accepted, or an earlier attempt of this one
   * was accepted and its response was lost.
   */
  private Promise<SubmissionResult> resolveConflict(Submission submission) {
    return findEarlierResult(submission)
        .then(earlier -> earlier.fold(Promise::of, none -> readCurrentVersion()));
  }

  private Promise<SubmissionResult> readCurrentVersion() {
    return table
        .read(TableRows.HEAD_KEY)
        .map(
            read ->
                read.fold(
                    SubmissionResult.PlatformUnavailable::new,
                    row ->
                        new SubmissionResult.Conflict(
                            row.flatMap(TableRows::toVersion).orElse(ConfigVersion.NONE))));
  }

  /**
   * Resolves a transaction whose response was lost, by reading the submission row until it exists
   * or no attempts are left.
   */
  private Promise<SubmissionResult> resolveUnknownOutcome(
      Submission submission, ConfigHead head, PlatformFailure failure, int attemptsLeft) {
    if (attemptsLeft == 0) {
      return Promise.of(new SubmissionResult.OutcomeUnknown(failure));
    }
    return Promises.delay(RESOLVE_RETRY_DELAY)
        .then(() -> table.read(TableRows.submissionKey(submission.id())))
        .then(
            read -> {
              Optional<ConfigVersion> version =
                  read.toJavaOptional().flatMap(row -> row).flatMap(TableRows::toVersion);
              return version.isPresent()
                  ? Promise.of(accepted(head))
                  : resolveUnknownOutcome(submission, head, failure, attemptsLeft - 1);
            });
  }

  private static void log(Submission submission, SubmissionResult result) {
    Event event =
        result instanceof SubmissionResult.Accepted
            ? Event.MANIFEST_ACCEPTED
            : Event.SUBMISSION_REFUSED;
    EventLog.log(event, "submission", submission.id(), "by", submission.submitter(), "end", result);
  }
}
