// HTTP/1.1 calls for threads that wait for one answer each. Whatever the other side sends, a call ends at its
// timeout and holds no more than a bounded answer.

#pragma once

#include <LibCore/Address.h>
#include <LibNet/HttpClient.h>

#include <absl/time/time.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace Wisteria {

class BlockingHttpClient
{
public:
    // A larger body fails the call as a bad answer. The largest ones are lists of VMs and configurations.
    static constexpr std::size_t maxBodyBytes = std::size_t{16} << 20U;

    // `timeout` bounds a whole call, with the time to connect.
    BlockingHttpClient(Address address, absl::Duration timeout);

    [[nodiscard]] HttpCallResult get(std::string_view path) const;
    // The body is JSON; `fields` are sent beside its type.
    [[nodiscard]] HttpCallResult post(std::string_view path, std::string_view body,
                                      HttpFields fields = {}) const;
    [[nodiscard]] HttpCallResult put(std::string_view path, std::string_view body,
                                     HttpFields fields = {}) const;

private:
    [[nodiscard]] HttpCallResult call(std::string_view method, std::string_view path, HttpFields fields,
                                      std::string_view body) const;

    Address m_address;
    absl::Duration m_timeout;
};

// "IP:port" for the Host field.
[[nodiscard]] std::string hostField(const Address &);

// Whether a failed request can be proved not to have reached the other side.
[[nodiscard]] bool wasNeverSent(HttpFailure);

} // namespace Wisteria
