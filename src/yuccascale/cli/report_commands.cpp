#include "yuccascale/cli/report_commands.hpp"

#include "yuccascale/cli/flags.hpp"
#include "yuccascale/cli/operator_client.hpp"
#include "yuccascale/cli/output.hpp"

#include <iostream>
#include <thread>

namespace yuccascale::cli {

using kernel::error_kind;
using kernel::fail;
using kernel::result;

namespace {

constexpr kernel::milliseconds pollInterval{100};

/// Keeps letters, digits, '-', '_' and '.'; encodes all other bytes as %XX.
std::string percentEncoded(const std::string &text)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (const char letter : text) {
        const auto byte = static_cast<unsigned char>(letter);
        if (std::isalnum(byte) != 0 || letter == '-' || letter == '_' || letter == '.') {
            out += letter;
            continue;
        }
        out += '%';
        out += digits[byte >> 4U];
        out += digits[byte & 0xfU];
    }
    return out;
}

/// \returns the addresses that do not answer or where \a revision is not in force yet.
std::vector<std::string> addressesBehind(const operator_client &client,
                                         const std::vector<std::string> &addresses,
                                         std::uint64_t revision)
{
    std::vector<std::string> out;
    for (const std::string &address : addresses) {
        std::uint64_t current = 0;
        kernel::error problem;
        const auto read = [&]() -> result<void> {
            BOOST_LEAF_AUTO(tables, client.tablesAt(address));
            current = tables.revision;
            return {};
        };
        if (!kernel::succeeded(read, problem) || current < revision)
            out.push_back(address);
    }
    return out;
}

} // namespace

result<void> showStatus(command_arguments)
{
    BOOST_LEAF_AUTO(client, operator_client::fromFlags());
    BOOST_LEAF_AUTO(status, client.get("/operator/status"));
    printObject(status);
    return {};
}

result<void> explainId(command_arguments arguments)
{
    BOOST_LEAF_AUTO(client, operator_client::fromFlags());
    BOOST_LEAF_AUTO(explanation,
                    client.get("/operator/explain?id=" + percentEncoded(arguments[0])));
    printObject(explanation);
    return {};
}

result<void> waitForRevision(command_arguments)
{
    if (FLAGS_revision == 0)
        return fail(error_kind::InvalidArgument, "command line",
                    "no revision given; add --revision=N with the revision that an edit printed");
    BOOST_LEAF_AUTO(client, operator_client::fromFlags());
    BOOST_LEAF_AUTO(timeout, timeoutFromFlag());
    const auto waitDeadline = std::chrono::steady_clock::now() + timeout;
    std::vector<std::string> remaining
            = addressesBehind(client, client.addresses(), FLAGS_revision);
    while (!remaining.empty() && std::chrono::steady_clock::now() < waitDeadline) {
        std::this_thread::sleep_for(pollInterval);
        remaining = addressesBehind(client, remaining, FLAGS_revision);
    }
    if (remaining.empty()) {
        std::cout << "revision " << FLAGS_revision << " is in force\n";
        return {};
    }
    std::string names;
    for (const std::string &address : remaining)
        names += " " + address;
    return fail(error_kind::DeadlineExceeded, "wait",
                "revision " + std::to_string(FLAGS_revision) + " is not in force at" + names
                        + "; run 'yuccascale status' there");
}

} // namespace yuccascale::cli
