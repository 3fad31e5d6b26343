#include "processes/table_edits.hpp"

#include <algorithm>

namespace yuccascale::processes {

namespace {

constexpr milliseconds editInterval{400};

json rowOf(const std::string &table, const std::string &name)
{
    if (table == "organisation")
        return {{"name", name}};
    return {{"name", name}, {"pool", "engines"}, {"kind", "model"}};
}

} // namespace

table_edits::table_edits(const cluster &system)
    : m_system(system)
    , m_thread([this] { run(); })
{ }

table_edits::~table_edits()
{
    stop();
}

void table_edits::stop()
{
    m_stopped = true;
    if (m_thread.joinable())
        m_thread.join();
}

void table_edits::run()
{
    for (int number = 0; !m_stopped; ++number) {
        edit(number % 2 == 0 ? "organisation" : "route", "added-" + std::to_string(number));
        std::this_thread::sleep_for(editInterval);
    }
}

void table_edits::edit(const std::string &table, const std::string &name)
{
    const command_answer answer = m_system.put(table, json::array({rowOf(table, name)}));
    if (answer.exitCode != 0 || !answer.document.is_object())
        return;
    m_acknowledged[table].insert(name);
    m_revision = std::max(m_revision, answer.document.value("revision", std::uint64_t{0}));
}

} // namespace yuccascale::processes
