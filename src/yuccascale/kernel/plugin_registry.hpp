#pragma once

#include "yuccascale/kernel/error.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Plug-ins by name, for each interface that plug-ins implement.

namespace yuccascale::kernel {

/// \brief Factories for one interface. Plug-ins register themselves through a static registration
/// object.
///
/// \example
///     const plugin_registry<router>::registration addRoundRobin{"round_robin", makeRoundRobin};
template<typename Interface, typename... Arguments>
class plugin_registry
{
public:
    using factory = std::function<std::unique_ptr<Interface>(Arguments...)>;

    /// \brief Adds a plug-in when it is constructed.
    struct registration
    {
        registration(std::string name, factory make)
        {
            factories().emplace(std::move(name), std::move(make));
        }
    };

    /// \returns a new plug-in, or error_kind::NotFound with the names of the registered ones.
    [[nodiscard]] static result<std::unique_ptr<Interface>> make(std::string_view name,
                                                                 Arguments... arguments)
    {
        const auto found = factories().find(std::string(name));
        if (found != factories().end())
            return found->second(arguments...);
        std::string known;
        for (const std::string &candidate : names())
            known += " " + candidate;
        return fail(error_kind::NotFound, std::string(name),
                    "no plug-in has this name; use one of:" + known);
    }

    /// \returns the names of all plug-ins of this interface, sorted.
    [[nodiscard]] static std::vector<std::string> names()
    {
        std::vector<std::string> all;
        for (const auto &[name, make] : factories())
            all.push_back(name);
        return all;
    }

private:
    [[nodiscard]] static std::map<std::string, factory> &factories()
    {
        static std::map<std::string, factory> all;
        return all;
    }
};

} // namespace yuccascale::kernel
