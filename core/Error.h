// Typed errors whose messages name the remedy.
#pragma once

#include "core/Time.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace turmericpitch {

/// What went wrong, as the caller must treat it.
enum class ErrorKind {
  /// Proven not to have run; safe to send again.
  NotRun,
  /// May or may not have run; look before sending again.
  OutcomeUnknown,
  /// A newer term, ticket or owner has taken the place. Not run.
  Superseded,
  /// Shed before anything ran; come back after RetryAfter.
  Overloaded,
  /// The session token names a lineage cut short by a promotion. Not run.
  StaleToken,
  /// The request itself is wrong. Not run.
  BadRequest,
  /// The credential or token does not allow it. Not run.
  Forbidden,
  /// What is needed can't be reached from here at present. Not run.
  Unavailable,
};

/// The kind's stable name, as in answers and logs. Thread-safe.
std::string_view toString(ErrorKind Kind);
/// The kind with this stable name. Thread-safe.
std::optional<ErrorKind> errorKindFromString(std::string_view Text);
/// Whether the kind states that nothing ran. Thread-safe.
bool provesNotRun(ErrorKind Kind);

/// An error as reported to callers and operators.
struct Error {
  ErrorKind Kind = ErrorKind::BadRequest;
  std::string Message;
  /// What the reader can do about it.
  std::string Remedy;
  /// When to come back, where waiting helps.
  std::optional<Duration> RetryAfter = std::nullopt;

  bool operator==(const Error &) const = default;
};

/// Synchronous result; errors travel as LEAF payloads of type Error.
template <typename T> using Result = boost::leaf::result<T>;

/// A value or an Error that can be kept, compared and passed between
/// threads; LEAF payloads live only within the call that handles them.
template <typename T> class Outcome {
public:
  /// An error, until a value or another error is assigned.
  Outcome()
      : State(Error{.Kind = ErrorKind::Unavailable,
                    .Message = "no outcome yet",
                    .Remedy = "report it with the decision log"}) {}
  Outcome(T Value) : State(std::move(Value)) {}
  Outcome(Error Failure) : State(std::move(Failure)) {}

  [[nodiscard]] bool hasValue() const { return this->State.index() == 0; }
  explicit operator bool() const { return this->hasValue(); }
  /// Precondition: hasValue().
  [[nodiscard]] const T &value() const { return std::get<0>(this->State); }
  T &value() { return std::get<0>(this->State); }
  /// Precondition: !hasValue().
  [[nodiscard]] const Error &error() const { return std::get<1>(this->State); }

private:
  std::variant<T, Error> State;
};

/// Success without a value.
using Status = Outcome<std::monostate>;

/// The T of a Result<T>.
template <typename T> struct ResultValue;
template <typename T> struct ResultValue<Result<T>> { using Type = T; };

/// Runs Attempt, a callable returning Result<T>, and keeps its outcome.
/// Errors: an error without an Error payload becomes Unavailable.
template <typename Callable> auto toOutcome(Callable &&Attempt) {
  using ValueType = typename ResultValue<std::invoke_result_t<Callable>>::Type;
  return boost::leaf::try_handle_all(
      [&]() -> Result<Outcome<ValueType>> {
        BOOST_LEAF_AUTO(Value, Attempt());
        return Outcome<ValueType>(std::move(Value));
      },
      [](const Error &Failure) { return Outcome<ValueType>(Failure); },
      [] {
        return Outcome<ValueType>(
            Error{.Kind = ErrorKind::Unavailable,
                  .Message = "internal error without details",
                  .Remedy = "report it with the decision log"});
      });
}

} // namespace turmericpitch
