package org.mustardstage.entry.peer;

import org.mustardstage.core.id.TenantName;
import org.mustardstage.core.quota.QuotaMessage;
import org.mustardstage.schema.generated.WireQuotaAsk;
import org.mustardstage.schema.generated.WireQuotaGrant;
import org.mustardstage.schema.generated.WireQuotaMark;
import org.mustardstage.schema.generated.WireQuotaReturn;
import org.mustardstage.schema.generated.WireQuotaShares;

/** Maps the messages about quotas to and from their wire classes. */
final class QuotaMessageMapper {
  private QuotaMessageMapper() {}

  static Object toWire(QuotaMessage message) {
    return switch (message) {
      case QuotaMessage.Shares shares ->
          new WireQuotaShares()
              .withGroup((long) shares.group())
              .withShareCount((long) shares.shareCount())
              .withMark(shares.mark())
              .withKnownVms((long) shares.knownVms())
              .withSettled(shares.settled());
      case QuotaMessage.Mark mark ->
          new WireQuotaMark().withGroup((long) mark.group()).withMark(mark.mark());
      case QuotaMessage.Ask ask ->
          new WireQuotaAsk()
              .withTenant(ask.tenant().value())
              .withAsk(ask.ask())
              .withCount((long) ask.count());
      case QuotaMessage.Grant grant ->
          new WireQuotaGrant()
              .withTenant(grant.tenant().value())
              .withAsk(grant.ask())
              .withBatch(grant.batch())
              .withCount((long) grant.count())
              .withValidMillis(grant.validMillis())
              .withRetryAfterMillis(grant.retryAfterMillis());
      case QuotaMessage.Return returned ->
          new WireQuotaReturn()
              .withTenant(returned.tenant().value())
              .withBatch(returned.batch())
              .withCount((long) returned.count());
    };
  }

  static QuotaMessage fromWire(WireQuotaShares wire) {
    return new QuotaMessage.Shares(
        Math.toIntExact(wire.getGroup()),
        Math.toIntExact(wire.getShareCount()),
        wire.getMark(),
        Math.toIntExact(wire.getKnownVms()),
        wire.getSettled());
  }

  static QuotaMessage fromWire(WireQuotaMark wire) {
    return new QuotaMessage.Mark(Math.toIntExact(wire.getGroup()), wire.getMark());
  }

  static QuotaMessage fromWire(WireQuotaAsk wire) {
    return new QuotaMessage.Ask(
        new TenantName(wire.getTenant()), wire.getAsk(), Math.toIntExact(wire.getCount()));
  }

  static QuotaMessage fromWire(WireQuotaGrant wire) {
    return new QuotaMessage.Grant(
        new TenantName(wire.getTenant()),
        wire.getAsk(),
        wire.getBatch(),
        Math.toIntExact(wire.getCount()),
        wire.getValidMillis(),
        wire.getRetryAfterMillis());
  }

  static QuotaMessage fromWire(WireQuotaReturn wire) {
    return new QuotaMessage.Return(
        new TenantName(wire.getTenant()), wire.getBatch(), Math.toIntExact(wire.getCount()));
  }
}
