#pragma once

#include <CLI/CLI.hpp>

#include <cstdint>
#include <cstdlib>

namespace cicadalb::standin {

/// @brief Command line of a stand-in. parse() ends the process after printing a message if an option is wrong.
class Arguments {
public:
    explicit Arguments(const char* description)
        : m_app(description)
    {
        m_app.add_option("--port", port, "Loopback port to listen on; 0 takes any free one");
    }

    template <typename T>
    void option(const char* name, T& value, const char* help) { m_app.add_option(name, value, help)->capture_default_str(); }
    void flag(const char* name, bool& value, const char* help) { m_app.add_flag(name, value, help); }

    void parse(int argc, char** argv)
    {
        try {
            m_app.parse(argc, argv);
        } catch (const CLI::ParseError& error) {
            std::exit(m_app.exit(error));
        }
    }

    std::uint16_t port = 0;

private:
    CLI::App m_app;
};

} // namespace cicadalb::standin
