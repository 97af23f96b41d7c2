// A concurrent map, divided into shards with a lock each.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <shared_mutex>

namespace turmericpitch {

/// A map from Key to Value, divided into shards. Thread-safe. No call holds the
/// locks of two shards. Callables must not call back into the same object.
template <typename Key, typename Value, std::size_t ShardCount = 16>
class Sharded {
public:
  /// Calls Change with the value of K, default-constructed if absent, under the
  /// shard's exclusive lock. Returns the result of Change.
  template <typename Callable> auto update(const Key &K, Callable &&Change) {
    Shard &S = this->shardOf(K);
    std::unique_lock Lock(S.Mutex);
    return Change(S.Entries[K]);
  }

  /// Calls Read with a pointer to the value of K, or nullptr if absent, under
  /// the shard's shared lock. Returns the result of Read.
  template <typename Callable> auto read(const Key &K, Callable &&Read) const {
    const Shard &S = this->shardOf(K);
    std::shared_lock Lock(S.Mutex);
    auto Found = S.Entries.find(K);
    return Read(Found == S.Entries.end() ? nullptr : &Found->second);
  }

  /// Removes K if present.
  void erase(const Key &K) {
    Shard &S = this->shardOf(K);
    std::unique_lock Lock(S.Mutex);
    S.Entries.erase(K);
  }

  /// Calls Visit(key, value) for each entry, shard by shard. This is not a
  /// consistent snapshot: other shards can change between the visits.
  template <typename Callable> void forEach(Callable &&Visit) {
    for (Shard &S : this->Shards) {
      std::unique_lock Lock(S.Mutex);
      for (auto &[K, V] : S.Entries)
        Visit(K, V);
    }
  }

private:
  struct Shard {
    mutable std::shared_mutex Mutex;
    std::map<Key, Value> Entries;
  };

  Shard &shardOf(const Key &K) {
    return this->Shards[std::hash<Key>{}(K) % ShardCount];
  }
  const Shard &shardOf(const Key &K) const {
    return this->Shards[std::hash<Key>{}(K) % ShardCount];
  }

  std::array<Shard, ShardCount> Shards;
};

} // namespace turmericpitch
