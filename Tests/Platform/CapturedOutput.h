// Captures what the process writes to its standard output, such as the logs of gateways in the test.

#pragma once

#include <array>
#include <cstdio>
#include <stdexcept>
#include <string>

#include <unistd.h>

namespace Wisteria {

// Standard output goes to a temporary file until the object is destroyed.
class CapturedOutput
{
public:
    CapturedOutput() : m_file(std::tmpfile()), m_original(dup(STDOUT_FILENO))
    {
        if (!m_file || m_original < 0 || dup2(fileno(m_file), STDOUT_FILENO) < 0)
            throw std::runtime_error("cannot capture the standard output");
    }
    ~CapturedOutput()
    {
        dup2(m_original, STDOUT_FILENO);
        close(m_original);
        (void)std::fclose(m_file);
    }
    CapturedOutput(const CapturedOutput &) = delete;
    CapturedOutput &operator=(const CapturedOutput &) = delete;

    // All that was written so far.
    [[nodiscard]] std::string text() const
    {
        std::string out;
        std::array<char, 4096> buf;
        // The file's position is that of the standard output.
        for (ssize_t n = 0;
             (n = pread(fileno(m_file), buf.data(), buf.size(), static_cast<off_t>(out.size()))) > 0;)
            out.append(buf.data(), static_cast<std::size_t>(n));
        return out;
    }

private:
    std::FILE *m_file;
    int m_original;
};

} // namespace Wisteria
