// Typed errors with a message and a remedy, and results that carry them.
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

/// Classifies errors by how the caller has to treat them.
enum class ErrorKind {
  /// The request is proven not to have run; it is safe to retry.
  NotRun,
  /// The request may have run; check its effect before a retry.
  OutcomeUnknown,
  /// A newer term, ticket or owner has replaced the request's. Not run.
  Superseded,
  /// Shed because of overload, before anything ran; retry after RetryAfter.
  Overloaded,
  /// The session token names a log entry that a promotion has discarded. Not
  /// run.
  StaleToken,
  /// The request is invalid. Not run.
  BadRequest,
  /// The credential or token does not permit the request. Not run.
  Forbidden,
  /// A required service can't be reached from this instance at present. Not
  /// run.
  Unavailable,
};

/// The kind's stable name, as used in replies and logs. Thread-safe.
std::string_view toString(ErrorKind Kind);
/// The kind with this stable name, or nothing. Thread-safe.
std::optional<ErrorKind> errorKindFromString(std::string_view Text);
/// Whether the kind guarantees that the request did not run. Thread-safe.
bool provesNotRun(ErrorKind Kind);

/// An error as reported to callers and operators.
struct Error {
  ErrorKind Kind = ErrorKind::BadRequest;
  std::string Message;
  /// What the caller or operator can do about the error.
  std::string Remedy;
  /// How long to wait before a retry; not set if waiting does not help.
  std::optional<Duration> RetryAfter = std::nullopt;

  bool operator==(const Error &) const = default;
};

/// Result of a synchronous call; errors are LEAF payloads of type Error.
template <typename T> using Result = boost::leaf::result<T>;

/// A value or an Error. Unlike a Result, it can be stored and passed between
/// threads: LEAF payloads exist only within the call that handles them.
template <typename T> class Outcome {
public:
  /// Holds an error until a value or another error is assigned.
  Outcome()
      : State(Error{.Kind = ErrorKind::Unavailable,
                    .Message = "operation has not completed",
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

/// Calls Attempt, which returns a Result<T>, and converts the result to an
/// Outcome<T>. An error without an Error payload becomes Unavailable.
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
