#include "yuccascale/kernel/feed/node_list_copy.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <map>
#include <string_view>

namespace yuccascale::kernel::feed {

namespace {

/// The fields that nodes need of each other, each text with its length before it.
[[nodiscard]] std::string bytesOf(const node_report &node)
{
    std::string out;
    const auto add = [&](std::uint64_t number) {
        out.append(reinterpret_cast<const char *>(&number), sizeof(number));
    };
    add(node.incarnation);
    add(static_cast<std::uint64_t>(node.leaving) << 2U
        | static_cast<std::uint64_t>(node.control) << 1U
        | static_cast<std::uint64_t>(node.endpointsLost));
    for (const std::string *text :
         {&node.node, &node.link, &node.callers, &node.zone, &node.operators}) {
        add(text->size());
        out += *text;
    }
    return out;
}

[[nodiscard]] std::uint64_t hashOf(const node_report &node)
{
    const std::string bytes = bytesOf(node);
    return XXH3_64bits(bytes.data(), bytes.size());
}

/// \returns \a node without what other nodes do not need.
[[nodiscard]] node_report needed(node_report node)
{
    node.revision = 0;
    node.ageMs = 0;
    node.wallMs = 0;
    return node;
}

[[nodiscard]] std::size_t sizeOf(const node_change &change)
{
    std::size_t bytes = sizeof(change);
    for (const node_report &node : change.put)
        bytes += sizeof(node) + bytesOf(node).size();
    for (const std::string &name : change.removed)
        bytes += sizeof(std::string) + name.size();
    return bytes;
}

[[nodiscard]] node_change difference(const std::vector<node_report> &from,
                                     const std::vector<node_report> &to)
{
    std::map<std::string_view, const node_report *> former;
    for (const node_report &node : from)
        former.emplace(node.node, &node);
    node_change out;
    for (const node_report &node : to) {
        const auto found = former.find(node.node);
        if (found == former.end() || bytesOf(*found->second) != bytesOf(node))
            out.put.push_back(needed(node));
        if (found != former.end())
            former.erase(found);
    }
    for (const auto &[name, node] : former)
        out.removed.emplace_back(name);
    return out;
}

void apply(std::vector<node_report> &nodes, const node_change &change)
{
    std::erase_if(nodes, [&](const node_report &node) {
        return std::ranges::find(change.removed, node.node) != change.removed.end();
    });
    for (const node_report &node : change.put) {
        const auto found = std::ranges::find(nodes, node.node, &node_report::node);
        if (found == nodes.end())
            nodes.push_back(node);
        else
            *found = node;
    }
}

} // namespace

std::uint64_t digestOf(const std::vector<node_report> &nodes)
{
    std::uint64_t sum = 0;
    for (const node_report &node : nodes)
        sum += hashOf(node);
    return std::max<std::uint64_t>(sum, 1);
}

void node_list_copy::set(std::vector<node_report> nodes)
{
    const std::uint64_t digest = digestOf(nodes);
    if (digest != m_digest) {
        auto change = std::make_shared<node_change>(difference(m_nodes, nodes));
        change->from = m_digest;
        change->to = digest;
        remember(std::move(change));
    }
    m_nodes = std::move(nodes);
    m_digest = digest;
    m_wantsWhole = false;
}

/// The list of a build that knows no digest is whole, and so is one that has rows. A list without
/// rows may say that it is the one asked for, which another answer has replaced meanwhile.
void node_list_copy::install(const feed_reply &reply)
{
    if (reply.nodesDigest == 0 || !reply.nodes.empty())
        set(reply.nodes);
    else if (reply.nodesDigest == m_digest)
        return;
    else if (!reply.nodeChanges.empty())
        installChanges(reply);
    else if (reply.nodesDigest == digestOf({}))
        set({});
    else
        m_missed = true;
}

void node_list_copy::installChanges(const feed_reply &reply)
{
    const auto &changes = reply.nodeChanges;
    const auto first
            = std::ranges::find(changes, m_digest, [](const auto &change) { return change->from; });
    if (first == changes.end()) {
        m_missed = true;
        return;
    }
    std::vector<node_report> next = m_nodes;
    std::for_each(first, changes.end(), [&](const auto &change) { apply(next, *change); });
    if (digestOf(next) != reply.nodesDigest) {
        m_wantsWhole = true;
        m_missed = true;
        return;
    }
    std::for_each(first, changes.end(), [&](const auto &change) { remember(change); });
    m_nodes = std::move(next);
    m_digest = reply.nodesDigest;
}

void node_list_copy::remember(change_pointer change)
{
    const std::uint64_t from = change->from;
    const std::uint64_t to = change->to;
    const std::size_t bytes = sizeOf(*change);
    m_changes.add(from, to, std::move(change), bytes);
}

void node_list_copy::describe(feed_request &request) const
{
    request.nodesDigest = m_wantsWhole ? 0 : m_digest;
}

/// A former build names no digest and is sent none.
void node_list_copy::describe(const feed_request &request, feed_reply &reply) const
{
    if (request.nodesDigest == 0) {
        reply.nodes = m_nodes;
        return;
    }
    reply.nodesDigest = m_digest;
    if (request.nodesDigest == m_digest)
        return;
    reply.nodeChanges = m_changes.since(request.nodesDigest);
    std::size_t rows = 0;
    for (const change_pointer &change : reply.nodeChanges)
        rows += change->put.size() + change->removed.size();
    if (!reply.nodeChanges.empty() && 2 * rows <= m_nodes.size())
        return;
    reply.nodeChanges.clear();
    reply.nodes = m_nodes;
}

} // namespace yuccascale::kernel::feed
