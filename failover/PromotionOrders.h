// The orders for a promotion that were given while a primary record was closed,
// and what they allow.
#pragma once

#include "core/Identifiers.h"
#include "core/LogPosition.h"
#include "core/Time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace turmericpitch {

/// What is known of an order to promote a member.
enum class OrderFate : std::uint8_t {
  /// It was certainly not sent.
  NotSent,
  /// The platform turned it down, as the member doesn't run.
  Refused,
  /// The platform accepted it; the member leads soon after, or fails before.
  Taken,
  /// No answer arrived, or another promoter gave it.
  Unknown,
};

/// The fate's stable name in the decision log. Thread-safe.
std::string_view toString(OrderFate Fate);

/// An order for a promotion. Immutable value.
struct GivenOrder {
  /// Empty if it isn't known.
  UpstreamId Target;
  OrderFate Fate = OrderFate::Unknown;
  /// The newest term that was known to have begun before the order; nothing if
  /// none is known.
  std::optional<Term> Before = std::nullopt;
  /// When it was answered or, without an answer, when its call had ended.
  TimePoint EndedAt = {};

  bool operator==(const GivenOrder &) const = default;
};

/// A member's report on the term that it knows. Immutable value.
struct TermReport {
  UpstreamId Member;
  /// Whether the member says that it is primary.
  bool Leads = false;
  /// The newest term that it knows; its own if it leads.
  Term Newest;
  /// The end of its log.
  TermPosition Received = {};
  /// When the member was asked; nothing if that isn't known.
  std::optional<TimePoint> AskedAt = std::nullopt;

  bool operator==(const TermReport &) const = default;
};

struct PromotionOrdersOptions {
  /// How long a member may take from an order until it leads; the users state
  /// 1 s at most.
  Duration EffectTimeout = std::chrono::milliseconds(3000);
};

/// All orders that may have been given since a record was open. A former
/// primary doesn't notice that another member was promoted until it reaches
/// that member, so its own report proves nothing once an order was taken. Not
/// thread-safe.
class PromotionOrders {
public:
  explicit PromotionOrders(PromotionOrdersOptions Options = {})
      : Options(Options) {}

  /// Adds an order that was given after all others.
  void add(GivenOrder Order);
  /// The newest order that was taken or may have been, or nullptr; it tells who
  /// leads in the end. Valid until add().
  [[nodiscard]] const GivenOrder *decisive() const;
  /// Whether the former primary may get writes again without a new order that
  /// names it: no order was taken or may have been, it doesn't report that it
  /// follows, and no member reports that it leads a newer term.
  [[nodiscard]] bool mayKeep(const UpstreamId &Former,
                             std::span<const TermReport> Reports) const;
  /// Whether a report shows that the decisive order is in effect: its target
  /// leads a term above all that were known before. If it leads an older one
  /// EffectTimeout after the order was taken, then it was the primary when the
  /// order arrived, as only then does the platform change nothing.
  [[nodiscard]] bool isInEffect(const TermReport &Report) const;
  /// When an order that names this target may be given: earlier ones that name
  /// another have taken effect by then, or never will, so that none of them
  /// overtakes it.
  [[nodiscard]] TimePoint nextOrderAt(const UpstreamId &Target) const;

private:
  PromotionOrdersOptions Options;
  /// Those that were taken or may have been.
  std::vector<GivenOrder> Outstanding;
};

} // namespace turmericpitch
