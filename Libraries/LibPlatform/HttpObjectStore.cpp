// Client of the object API. A new connection a call keeps the calls free of shared state; the rates are
// small.

#include <LibPlatform/HttpObjectStore.h>

#include <LibPlatform/HttpClient.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace Wisteria {

namespace detail {

constexpr int statusOk = 200;
constexpr int statusCreated = 201;
constexpr int statusNotModified = 304;
constexpr int statusNotFound = 404;
constexpr int statusPreconditionFailed = 412;

std::string objectPath(const std::string &kind, const std::string &name)
{
    return absl::StrCat("/v1/objects/", kind, "/", name);
}

std::string entityTag(ObjectVersion version)
{
    return absl::StrCat("\"", version.value(), "\"");
}

ErrorOr<ObjectVersion> versionOf(const httplib::Response &response)
{
    auto tag = response.get_header_value("ETag");
    std::uint64_t n = 0;
    if (tag.size() < 2 || !absl::SimpleAtoi(tag.substr(1, tag.size() - 2), &n))
        return makeError(ErrorCode::StoreUnavailable, "the object API sent no entity tag");
    return ObjectVersion(n);
}

ErrorOr<std::optional<StoredObject>> readResult(const httplib::Result &result, const std::string &name)
{
    if (!result)
        return makeError(ErrorCode::StoreUnavailable, httplib::to_string(result.error()));
    if (result->status == statusNotFound || result->status == statusNotModified)
        return std::nullopt;
    if (result->status != statusOk)
        return makeError(ErrorCode::StoreUnavailable, absl::StrCat("status ", result->status));
    return StoredObject{name, TRY(versionOf(*result)), result->body};
}

} // namespace detail

HttpObjectStore::HttpObjectStore(Address address, absl::Duration timeout)
    : m_address(std::move(address)), m_timeout(timeout)
{
}

ErrorOr<std::unique_ptr<HttpObjectStore>> HttpObjectStore::create(const std::string &address,
                                                                  absl::Duration timeout)
{
    auto parsed = TRY(Address::parse(address));
    return std::unique_ptr<HttpObjectStore>(new HttpObjectStore(std::move(parsed), timeout));
}

ErrorOr<std::optional<StoredObject>> HttpObjectStore::get(const std::string &kind, const std::string &name)
{
    auto client = makeHttpClient(m_address, m_timeout);
    return detail::readResult(client.Get(detail::objectPath(kind, name)), name);
}

ErrorOr<ObjectVersion> HttpObjectStore::put(const std::string &kind, const std::string &name,
                                            const std::string &body, ObjectVersion expected)
{
    auto client = makeHttpClient(m_address, m_timeout);
    httplib::Headers headers;
    if (expected == ObjectVersion())
        headers.emplace("If-None-Match", "*");
    else
        headers.emplace("If-Match", detail::entityTag(expected));
    auto result = client.Put(detail::objectPath(kind, name), headers, body, "application/json");
    if (!result) {
        // Only a refused connection proves that the write had no effect.
        return makeError(wasNeverSent(result.error()) ? ErrorCode::StoreUnavailable
                                                      : ErrorCode::StoreOutcomeUnknown,
                         httplib::to_string(result.error()));
    }
    if (result->status == detail::statusPreconditionFailed)
        return makeError(ErrorCode::Conflict, absl::StrCat(kind, "/", name));
    if (result->status == detail::statusOk || result->status == detail::statusCreated) {
        auto version = detail::versionOf(*result);
        if (!version)
            return makeError(ErrorCode::StoreOutcomeUnknown, version.error().detail);
        return version;
    }
    // A server error may have come from a part behind the one that wrote.
    return makeError(ErrorCode::StoreOutcomeUnknown, absl::StrCat("status ", result->status));
}

ErrorOr<std::optional<StoredObject>> HttpObjectStore::watch(const std::string &kind, const std::string &name,
                                                            ObjectVersion after, absl::Duration timeout)
{
    auto client = makeHttpClient(m_address, timeout + m_timeout);
    auto path = absl::StrCat(detail::objectPath(kind, name), "?watch=true&after=", after.value(),
                             "&timeout_ms=", absl::ToInt64Milliseconds(timeout));
    return detail::readResult(client.Get(path), name);
}

} // namespace Wisteria
