// Reads the VM list from its HTTP interface.

#include <LibPlatform/VmDirectory.h>

#include <LibPlatform/BlockingHttpClient.h>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace Wisteria {

namespace detail {

class HttpVmDirectory final : public VmDirectory
{
public:
    HttpVmDirectory(Address address, absl::Duration timeout)
        : m_address(std::move(address)), m_timeout(timeout)
    {
    }

    ErrorOr<std::vector<VmEntry>> list() override
    {
        const auto result = BlockingHttpClient(m_address, m_timeout).get("/v1/vms");
        if (!result)
            return makeError(ErrorCode::ConnectionFailed, std::string(httpFailureName(result.error())));
        if (result->head.status != 200)
            return makeError(ErrorCode::ConnectionFailed, absl::StrCat("status ", result->head.status));
        return parse(result->body);
    }

private:
    static ErrorOr<std::vector<VmEntry>> parse(const std::string &body)
    {
        std::vector<VmEntry> vms;
        try {
            // The parsed value needs a name: a range-for over a part of a temporary would outlive the
            // temporary.
            const auto answer = nlohmann::json::parse(body);
            for (const auto &it : answer.at("vms")) {
                auto state = it.at("state").get<std::string>();
                vms.push_back(VmEntry{TargetId(it.at("target").get<std::string>()), state == "leaving"});
            }
        } catch (const nlohmann::json::exception &error) {
            return makeError(ErrorCode::ProtocolViolation, error.what());
        }
        return vms;
    }

    const Address m_address;
    const absl::Duration m_timeout;
};

} // namespace detail

ErrorOr<std::unique_ptr<VmDirectory>> createHttpVmDirectory(const std::string &address,
                                                            absl::Duration timeout)
{
    return std::make_unique<detail::HttpVmDirectory>(TRY(Address::parse(address)), timeout);
}

} // namespace Wisteria
