// Registry of plug-ins by interface and name. A plug-in registers itself with a PluginRegistration at
// namespace scope. BuiltInPlugins.cpp prevents the linker from dropping the plug-ins of this library.

#pragma once

#include <LibCore/Verify.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Wisteria {

template <typename Interface>
class PluginRegistry
{
public:
    using Factory = std::unique_ptr<Interface> (*)();

    [[nodiscard]] static PluginRegistry &instance()
    {
        static PluginRegistry registry;
        return registry;
    }

    // The name must not be registered yet.
    void add(std::string name, Factory factory)
    {
        const bool added = m_factories.emplace(std::move(name), factory).second;
        VERIFY(added);
    }

    // Returns null if no plug-in has this name.
    [[nodiscard]] std::unique_ptr<Interface> create(std::string_view name) const
    {
        auto it = m_factories.find(name);
        return it == m_factories.end() ? nullptr : it->second();
    }

    [[nodiscard]] std::vector<std::string> names() const
    {
        std::vector<std::string> out;
        for (const auto &[name, factory] : m_factories)
            out.push_back(name);
        return out;
    }

private:
    PluginRegistry() = default;

    // Invariant: modified only during static initialisation, so reads need no lock.
    std::map<std::string, Factory, std::less<>> m_factories;
};

template <typename Interface, typename Plugin>
class PluginRegistration
{
public:
    explicit PluginRegistration(std::string name)
    {
        PluginRegistry<Interface>::instance().add(
            std::move(name), []() -> std::unique_ptr<Interface> { return std::make_unique<Plugin>(); });
    }
};

} // namespace Wisteria
