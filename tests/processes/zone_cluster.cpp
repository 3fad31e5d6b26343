#include "processes/zone_cluster.hpp"

#include "fakes/free_port.hpp"
#include "fakes/http_client.hpp"
#include "processes/cluster.hpp"
#include "processes/program.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace yuccascale::processes {

namespace fs = std::filesystem;

namespace {

constexpr milliseconds readyLimit{60'000};
constexpr int askTimeoutMs = 300;
constexpr int ok = 200;
constexpr int redirected = 307;

std::string freeAddress()
{
    return "127.0.0.1:" + std::to_string(fakes::freePort());
}

fs::path newFolder()
{
    static std::atomic<int> number{0};
    fs::path folder = fs::temp_directory_path()
            / ("yuccascale-zones-" + std::to_string(::getpid()) + "-" + std::to_string(number++));
    fs::create_directories(folder);
    return folder;
}

std::string listed(const std::vector<std::string> &texts)
{
    std::string list;
    for (const std::string &text : texts)
        list += (list.empty() ? "'" : ", '") + text + "'";
    return list;
}

} // namespace

zone_cluster::zone_cluster(const zone_options &options, core_contact &contact)
    : m_options(options)
    , m_contact(contact)
    , m_folder(newFolder())
{
    addNodes(options.entries);
    addRelays();
    for (std::size_t control = 0; control < controlNodes; ++control) {
        fs::create_directories(m_folder / ("data-" + m_controls[control].name));
        writeControlSettings(control);
        run(m_controls[control]);
    }
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        writeEntrySettings(entry);
        run(m_entries[entry]);
    }
}

zone_cluster::~zone_cluster()
{
    m_entries.clear();
    m_controls.clear();
    if (testing::Test::HasFailure())
        std::cerr << "logs of the failed test are kept in " << m_folder << "\n";
    else
        fs::remove_all(m_folder);
}

std::string zone_cluster::furtherAddress() const
{
    return m_options.furtherListeners ? freeAddress() : std::string();
}

void zone_cluster::addNodes(std::size_t entries)
{
    for (std::size_t zone = 0; zone < controlNodes; ++zone)
        m_controls.push_back({"core-z" + std::to_string(zone),
                              zone,
                              freeAddress(),
                              {},
                              {},
                              freeAddress(),
                              furtherAddress(),
                              nullptr});
    for (std::size_t number = 0; number < entries; ++number) {
        const std::size_t zone = number % controlNodes;
        m_entries.push_back({"front-z" + std::to_string(zone) + "-" + std::to_string(number),
                             zone,
                             freeAddress(),
                             freeAddress(),
                             freeAddress(),
                             {},
                             furtherAddress(),
                             nullptr});
    }
}

zone_cluster::routed_link zone_cluster::makeLink(std::size_t control) const
{
    routed_link made;
    made.listen = freeAddress();
    made.path = std::make_unique<relay>(made.listen, m_controls[control].link);
    return made;
}

void zone_cluster::addRelays()
{
    for (std::size_t from = 0; from < controlNodes; ++from) {
        link_row &row = m_controlLinks.emplace_back(controlNodes);
        for (std::size_t to = 0; to < controlNodes; ++to) {
            if (from != to)
                row[to] = makeLink(to);
        }
    }
    for (std::size_t entry = 0; m_options.relaysBeforeEntries && entry < m_entries.size();
         ++entry) {
        link_row &row = m_entryLinks.emplace_back();
        for (std::size_t to = 0; to < controlNodes; ++to)
            row.push_back(makeLink(to));
    }
}

std::string zone_cluster::linkRoutes(const link_row &links) const
{
    std::string routes;
    for (std::size_t to = 0; to < links.size(); ++to) {
        if (links[to].path != nullptr)
            routes += (routes.empty() ? "'" : ", '") + m_controls[to].link + "': '"
                    + links[to].listen + "'";
    }
    return routes;
}

/// What deploy/control.yaml and deploy/entry.yaml have in common.
std::string zone_cluster::commonSettings(const node &one, const link_row &links) const
{
    std::vector<std::string> seeds;
    for (const node &control : m_controls)
        seeds.push_back(control.link);
    std::ostringstream text;
    text << "node: " << one.name << "\nzone: z" << one.zone << "\nlink: '" << one.link
         << "'\nseeds: [" << listed(seeds) << "]\nlink_routes: {" << linkRoutes(links)
         << "}\nlog: {format: json, file: '" << (m_folder / (one.name + ".log")).string()
         << "'}\npromises:\n  key_withdrawal: 5000ms\n  shared_retries: true\n";
    if (knowsTableBound())
        text << "  table_propagation: 2000ms\n";
    if (knowsListBound())
        text << "  drain_notice: 3000ms\n";
    return text.str();
}

void zone_cluster::writeSettings(const node &one, const std::string &text) const
{
    std::ofstream(m_folder / (one.name + ".yaml")) << text;
}

std::string zone_cluster::furtherHttp(const node &one, const char *listener) const
{
    std::string fields = m_options.http.empty() ? "" : ", " + m_options.http;
    if (!one.further.empty())
        fields += std::string(", ") + listener + ": '" + one.further + "'";
    return fields;
}

void zone_cluster::writeControlSettings(std::size_t control) const
{
    const node &one = m_controls[control];
    std::ostringstream text;
    text << commonSettings(one, m_controlLinks[control])
         << "roles: [control]\nfirst_start: true\ndata_folder: '"
         << (m_folder / ("data-" + one.name)).string()
         << "'\nhttp: {protocol: platform, operators: '" << one.operators << "'"
         << furtherHttp(one, "metrics")
         << "}\ncontrol: {feed_interval: 600ms, tolerated_losses: 1}\nplatform:\n"
            "  drivers: platform\n  usage_window: 5s\n  list_interval: 500ms\n";
    for (const char *call : {"endpoint_list", "endpoint_counts", "usage_reports"})
        text << "  " << call << ": '" << m_options.platform << "'\n";
    writeSettings(one, text.str());
}

void zone_cluster::writeEntrySettings(std::size_t entry) const
{
    const node &one = m_entries[entry];
    std::ostringstream text;
    text << commonSettings(one, m_entryLinks.empty() ? m_noLinks : m_entryLinks[entry])
         << "  shutdown: 8s\n  retry_share: 0.2\n  retry_burst: 56\n  retry_window: 10s\n"
         << "roles: [entry]\ncallers: '" << one.callers
         << "'\nhttp: {protocol: platform, readiness: '" << one.readiness
         << "', address_ttl: 2s, loops: 1" << furtherHttp(one, "directory")
         << "}\ncontrol: {feed_interval: 600ms}\n"
            "platform: {usage_window: 5s, usage_batch: 1s}\n"
            "policy: {routing: prompt_homes, prefill_ahead: 24000, assume_others: false, "
            "cheap_notice: 1s}\n";
    writeSettings(one, text.str());
}

void zone_cluster::run(node &started)
{
    started.process = std::make_unique<child_process>(
            std::vector<std::string>{programUnderTest(), "node",
                                     "--settings="
                                             + (m_folder / (started.name + ".yaml")).string()},
            m_folder / (started.name + ".out"));
}

const std::string &zone_cluster::callerAddress(std::size_t entry) const
{
    return m_entries.at(entry).callers;
}

const std::string &zone_cluster::readinessAddress(std::size_t entry) const
{
    return m_entries.at(entry).readiness;
}

const std::string &zone_cluster::directoryAddress(std::size_t entry) const
{
    return m_entries.at(entry).further;
}

const std::string &zone_cluster::metricsAddress(std::size_t control) const
{
    return m_controls.at(control).further;
}

const std::string &zone_cluster::operatorAddress(std::size_t control) const
{
    return m_controls.at(control).operators;
}

child_process &zone_cluster::entryProcess(std::size_t entry) const
{
    return *m_entries.at(entry).process;
}

child_process &zone_cluster::controlProcess(std::size_t control) const
{
    return *m_controls.at(control).process;
}

bool zone_cluster::waitReady() const
{
    return waitUntil(readyLimit, [this] {
        return std::ranges::all_of(m_entries, [](const node &one) {
            fakes::http_call call;
            call.address = one.readiness;
            call.path = "/readiness";
            call.timeoutMs = askTimeoutMs;
            return fakes::callHttp(call).status == ok;
        });
    });
}

std::optional<std::size_t> zone_cluster::leader() const
{
    for (std::size_t control = 0; control < controlNodes; ++control) {
        fakes::http_call call;
        call.address = m_controls[control].operators;
        call.path = "/config";
        call.timeoutMs = askTimeoutMs;
        const fakes::http_answer answer = fakes::callHttp(call);
        if (answer.status == ok)
            return control;
        if (answer.status != redirected)
            continue;
        const std::string location = answer.header("location");
        for (std::size_t other = 0; other < controlNodes; ++other) {
            if (location == "http://" + m_controls[other].operators + "/config")
                return other;
        }
    }
    return std::nullopt;
}

void zone_cluster::applyHold(routed_link &link)
{
    link.path->hold(link.held);
}

/// What a node sends are its requests on connections that it opened and its answers on those that
/// the other one opened.
void zone_cluster::cut(std::size_t from, std::size_t to, cut_style style)
{
    routed_link &opened = m_controlLinks[from][to];
    routed_link &accepted = m_controlLinks[to][from];
    opened.held.toTarget = true;
    accepted.held.toClient = true;
    opened.held.lost = accepted.held.lost = style == cut_style::Lossy;
    applyHold(opened);
    applyHold(accepted);
    for (routed_link *link : {&opened, &accepted}) {
        if (style != cut_style::Resets)
            continue;
        link->path->setRefusing(true);
        link->path->resetConnections();
    }
    m_contact.setCut(from, to, true, test_clock::now());
}

void zone_cluster::join(std::size_t from, std::size_t to)
{
    routed_link &opened = m_controlLinks[from][to];
    routed_link &accepted = m_controlLinks[to][from];
    opened.held.toTarget = false;
    accepted.held.toClient = false;
    for (routed_link *link : {&opened, &accepted}) {
        link->path->setRefusing(false);
        applyHold(*link);
    }
    m_contact.setCut(from, to, false, test_clock::now());
}

void zone_cluster::cutEntries(std::size_t zone, std::size_t control, cut_style style)
{
    for (std::size_t entry = zone; entry < m_entryLinks.size(); entry += controlNodes) {
        relay &path = *m_entryLinks[entry][control].path;
        path.hold({true, true, style == cut_style::Lossy});
        if (style == cut_style::Resets) {
            path.setRefusing(true);
            path.resetConnections();
        }
        m_contact.setEntryCut(entry, control, true, test_clock::now());
    }
}

void zone_cluster::joinEntries(std::size_t zone, std::size_t control)
{
    for (std::size_t entry = zone; entry < m_entryLinks.size(); entry += controlNodes) {
        relay &path = *m_entryLinks[entry][control].path;
        path.setRefusing(false);
        path.hold({});
        m_contact.setEntryCut(entry, control, false, test_clock::now());
    }
}

void zone_cluster::freeze(std::size_t control)
{
    m_controls[control].process->signal(SIGSTOP);
    m_contact.setRunning(control, false, test_clock::now());
}

void zone_cluster::thaw(std::size_t control)
{
    m_controls[control].process->signal(SIGCONT);
    m_contact.setRunning(control, true, test_clock::now());
}

void zone_cluster::kill(std::size_t control)
{
    m_controls[control].process->kill();
    m_contact.setRunning(control, false, test_clock::now());
}

void zone_cluster::start(std::size_t control)
{
    run(m_controls[control]);
    m_contact.setRunning(control, true, test_clock::now());
}

} // namespace yuccascale::processes
