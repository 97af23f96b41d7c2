// State split into shards, each under its own lock.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <shared_mutex>

namespace turmericpitch {

/// A map from Key to Value in shards. Thread-safe; no call holds more than
/// one shard's lock, and callables must not call back into the same object.
template <typename Key, typename Value, std::size_t ShardCount = 16>
class Sharded {
public:
  /// Runs Change on the value of K, created by default if absent, under the
  /// shard's exclusive lock; returns what Change returns.
  template <typename Callable> auto update(const Key &K, Callable &&Change) {
    Shard &S = this->shardOf(K);
    std::unique_lock Lock(S.Mutex);
    return Change(S.Entries[K]);
  }

  /// Runs Read on a pointer to the value of K, or nullptr if absent, under
  /// the shard's shared lock; returns what Read returns.
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

  /// Runs Visit(key, value) on each entry, shard by shard; entries of
  /// different shards may be from different moments.
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
