#pragma once

#include "processes/child_process.hpp"
#include "processes/core_contact.hpp"
#include "processes/relay.hpp"

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief Three availability zones on the users' platform: a control node and entries in each.

namespace yuccascale::processes {

/// \brief Size of the zones and what stands between their nodes.
struct zone_options
{
    std::size_t entries = 6;          ///< spread over the zones in turn
    bool relaysBeforeEntries = false; ///< on the links from entries to control nodes
    std::string platform;             ///< IP:port of the platform's interfaces
    std::string http = {};            ///< further fields of the setting http, in YAML
    bool furtherListeners = false;    ///< directories at entries, metrics at control nodes
};

/// \brief What a cut does with connections.
enum class cut_style {
    Silent, ///< bytes wait until the links are joined
    Lossy,  ///< bytes are lost; connections that lost some stay silent, new ones work once joined
    Resets, ///< open connections end when the cut begins, new ones are reset
};

/// \brief Starts the nodes with relays between the control nodes, and records in core_contact what
/// is done to them. The destructor ends all processes.
class zone_cluster
{
public:
    static constexpr std::size_t controlNodes = 3;

    zone_cluster(const zone_options &options, core_contact &contact);
    ~zone_cluster();
    zone_cluster(const zone_cluster &) = delete;
    zone_cluster &operator=(const zone_cluster &) = delete;

    [[nodiscard]] std::size_t entries() const noexcept { return m_entries.size(); }
    [[nodiscard]] const std::string &callerAddress(std::size_t entry) const;
    [[nodiscard]] const std::string &operatorAddress(std::size_t control) const;
    /// \returns the address of an entry's readiness.
    [[nodiscard]] const std::string &readinessAddress(std::size_t entry) const;
    /// \returns the address of an entry's directory; zone_options::furtherListeners only.
    [[nodiscard]] const std::string &directoryAddress(std::size_t entry) const;
    /// \returns the address of a control node's metrics; zone_options::furtherListeners only.
    [[nodiscard]] const std::string &metricsAddress(std::size_t control) const;
    [[nodiscard]] child_process &entryProcess(std::size_t entry) const;
    [[nodiscard]] child_process &controlProcess(std::size_t control) const;
    [[nodiscard]] const std::filesystem::path &folder() const noexcept { return m_folder; }

    /// \returns whether all entries answer that they are ready within the limit.
    [[nodiscard]] bool waitReady() const;

    /// \returns the control node that leads by its own word or that of another; nothing when none
    ///          says so.
    [[nodiscard]] std::optional<std::size_t> leader() const;

    /// \brief Cuts what a control node sends to another one, or joins it.
    void cut(std::size_t from, std::size_t to, cut_style style);
    void join(std::size_t from, std::size_t to);

    /// \brief Cuts all entries of a zone from a control node, or joins them; with relays only.
    void cutEntries(std::size_t zone, std::size_t control, cut_style style);
    void joinEntries(std::size_t zone, std::size_t control);

    void freeze(std::size_t control);
    void thaw(std::size_t control);
    void kill(std::size_t control);
    void start(std::size_t control);

private:
    struct node
    {
        std::string name;
        std::size_t zone = 0;
        std::string link;
        std::string callers;
        std::string readiness;
        std::string operators;
        std::string further; ///< a directory or metrics; empty: none
        std::unique_ptr<child_process> process;
    };
    /// The connections that a node opens to a control node.
    struct routed_link
    {
        std::string listen;
        std::unique_ptr<relay> path;
        held_directions held;
    };
    using link_row = std::vector<routed_link>; ///< by control node

    void addNodes(std::size_t entries);
    void addRelays();
    [[nodiscard]] routed_link makeLink(std::size_t control) const;
    void run(node &started);
    [[nodiscard]] std::string commonSettings(const node &one, const link_row &links) const;
    [[nodiscard]] std::string linkRoutes(const link_row &links) const;
    void writeSettings(const node &one, const std::string &text) const;
    [[nodiscard]] std::string furtherAddress() const;
    [[nodiscard]] std::string furtherHttp(const node &one, const char *listener) const;
    void writeControlSettings(std::size_t control) const;
    void writeEntrySettings(std::size_t entry) const;
    static void applyHold(routed_link &link);

    zone_options m_options;
    core_contact &m_contact;
    std::filesystem::path m_folder;
    std::vector<node> m_controls;
    std::vector<node> m_entries;
    std::vector<link_row> m_controlLinks; ///< by the control node that connects
    std::vector<link_row> m_entryLinks;   ///< by entry; empty without relays
    const link_row m_noLinks;
};

} // namespace yuccascale::processes
