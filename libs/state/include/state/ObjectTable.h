#ifndef AUBURNRAIL_STATE_OBJECTTABLE_H
#define AUBURNRAIL_STATE_OBJECTTABLE_H

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace auburnrail {

/// Objects of one kind by name. Copies share their shards until one of them is changed (copy on
/// write), so that the cost of a copy depends on the number of shards, not of objects. Different
/// threads may use different copies; each copy has at most one writer at a time.
template <typename T>
class ObjectTable
{
public:
    /// The object, or null. Valid until the next change of this table.
    [[nodiscard]] auto find(std::string_view name) const -> const T *
    {
        const auto &shard = this->shards[shardOf(name)];
        if (shard == nullptr)
            return nullptr;
        const auto found = shard->find(name);
        return found == shard->end() ? nullptr : &found->second;
    }

    /// Adds or replaces the object.
    auto put(std::string name, T object) -> void
    {
        this->writableShard(name).insert_or_assign(std::move(name), std::move(object));
    }

    /// The object for a change in place; added if it does not exist. Valid until the next change of
    /// this table.
    [[nodiscard]] auto change(const std::string &name) -> T &
    {
        return this->writableShard(name)[name];
    }

    auto erase(std::string_view name) -> void
    {
        if (this->find(name) == nullptr)
            return;
        auto &shard = this->writableShard(name);
        shard.erase(shard.find(name));
    }

    [[nodiscard]] auto size() const -> std::size_t
    {
        auto total = std::size_t(0);
        for (const auto &shard : this->shards)
            total += shard == nullptr ? 0 : shard->size();
        return total;
    }

    /// Calls `visit` for every object; the order is the same for equal tables.
    auto forEach(const std::function<auto(const T &)->void> &visit) const -> void
    {
        for (const auto &shard : this->shards) {
            if (shard == nullptr)
                continue;
            for (const auto &[name, object] : *shard)
                visit(object);
        }
    }

    auto operator==(const ObjectTable &other) const -> bool
    {
        for (auto index = std::size_t(0); index < SHARD_COUNT; ++index) {
            const auto &left = this->shards[index];
            const auto &right = other.shards[index];
            const auto leftEmpty = left == nullptr || left->empty();
            const auto rightEmpty = right == nullptr || right->empty();
            if (leftEmpty != rightEmpty || (!leftEmpty && *left != *right))
                return false;
        }
        return true;
    }

private:
    using Shard = std::map<std::string, T, std::less<>>;

    static constexpr auto SHARD_COUNT = std::size_t(64);

    static auto shardOf(std::string_view name) -> std::size_t
    {
        return std::hash<std::string_view>()(name) % SHARD_COUNT;
    }

    auto writableShard(std::string_view name) -> Shard &
    {
        auto &shard = this->shards[shardOf(name)];
        if (shard == nullptr) {
            shard = std::make_shared<Shard>();
            return *shard;
        }
        // Taking a second reference synchronises with a thread that has just released its copy;
        // reading use_count() alone does not.
        const auto probe = shard;
        if (probe.use_count() > 2)
            shard = std::make_shared<Shard>(*probe);
        return *shard;
    }

    std::array<std::shared_ptr<Shard>, SHARD_COUNT> shards;
};

} // namespace auburnrail

#endif
