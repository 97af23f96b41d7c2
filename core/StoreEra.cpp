#include "core/StoreEra.h"

namespace turmericpitch {

namespace {

constexpr unsigned RevisionBits = 40;
constexpr std::uint64_t RevisionMask = (std::uint64_t{1} << RevisionBits) - 1;

} // namespace

Revision positionInHistory(StoreEra Era, std::uint64_t StoreRevision) {
  return {(Era.Value << RevisionBits) | (StoreRevision & RevisionMask)};
}

StoreEra eraOf(Revision Position) { return {Position.Value >> RevisionBits}; }

std::uint64_t storeRevisionOf(Revision Position) {
  return Position.Value & RevisionMask;
}

} // namespace turmericpitch
