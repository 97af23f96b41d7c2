#include "routing/Filters.h"

#include "core/Digest.h"

#include <algorithm>

namespace turmericpitch {

namespace {

Error forbiddenError(std::string Message, std::string Remedy) {
  return {.Kind = ErrorKind::Forbidden,
          .Message = std::move(Message),
          .Remedy = std::move(Remedy)};
}

Error unknownHostError() {
  return {.Kind = ErrorKind::BadRequest,
          .Message = "unknown host name",
          .Remedy = "use the host name assigned by your provider"};
}

Error noConfigurationError() {
  return {.Kind = ErrorKind::NotRun,
          .Message = "this instance has not loaded a configuration yet",
          .Remedy = "send the request again after retry_after_ms",
          .RetryAfter = std::chrono::seconds(1)};
}

template <typename T>
bool contains(const std::vector<T> &List, const T &Entry) {
  return std::find(List.begin(), List.end(), Entry) != List.end();
}

} // namespace

Result<void> AccountFilter::apply(RequestContext &Context) const {
  if (!Context.Configuration)
    return boost::leaf::new_error(noConfigurationError());
  const ConfigurationSnapshot &Configuration = *Context.Configuration;
  const StatementRequest &Request = Context.Request;
  Context.OwningBrand = Configuration.brandByHost(Request.Host);
  if (!Context.OwningBrand)
    return boost::leaf::new_error(unknownHostError());
  Context.Account =
      Configuration.accountByCredential(sha256Hex(Request.Credential));
  if (!Context.Account || Context.Account->Owner != Context.OwningBrand->Id)
    return boost::leaf::new_error(forbiddenError(
        "unknown credential", "send Authorization: Bearer with the "
                              "credential of your client account"));
  const DatabaseService *Service = Configuration.service(Request.Service);
  bool Reachable = Service &&
                   contains(Context.Account->Services, Request.Service) &&
                   contains(Service->Databases, Request.Target);
  if (!Reachable)
    return boost::leaf::new_error(
        forbiddenError("no such service or database for this client account",
                       "use a service and database of your client account"));
  Context.Target = Configuration.database(Request.Target);
  // Account names contain no ':', so keys of different client accounts never
  // collide.
  if (Request.Key)
    Context.Request.Key =
        IdempotencyKey{Context.Account->Id.Value + ":" + Request.Key->Value};
  return {};
}

Result<void> DeadlineFilter::apply(RequestContext &Context) const {
  Duration Timeout = Context.Request.Timeout;
  if (Timeout <= Duration{0} || Timeout > this->MaxTimeout)
    return boost::leaf::new_error(Error{
        .Kind = ErrorKind::BadRequest,
        .Message = "deadline_ms out of range",
        .Remedy = "use a deadline from 1 ms to " +
                  std::to_string(
                      std::chrono::duration_cast<std::chrono::milliseconds>(
                          this->MaxTimeout)
                          .count()) +
                  " ms"});
  Context.Deadline = Context.ArrivedAt + Timeout;
  return {};
}

Result<void> TokenFilter::apply(RequestContext &Context) const {
  BOOST_LEAF_ASSIGN(Context.Token,
                    this->Codec->decode(Context.Request.TokenText,
                                        Context.Account->Id,
                                        Context.ArrivedAtWall));
  // Refuse before anything runs, because the answer could not carry the token.
  if (!Context.Token.hasRoomFor(Context.Request.Target))
    return boost::leaf::new_error(tooManyDatabasesError());
  return {};
}

} // namespace turmericpitch
