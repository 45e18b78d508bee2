// Client of the object API. A new connection a call keeps the calls free of shared state; the rates are
// small.

#include <LibPlatform/HttpObjectStore.h>

#include <LibPlatform/BlockingHttpClient.h>

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

ErrorOr<ObjectVersion> versionOf(const HttpResponse &response)
{
    const std::string tag(fieldValue(response.head.fields, "ETag"));
    std::uint64_t n = 0;
    if (tag.size() < 2 || !absl::SimpleAtoi(tag.substr(1, tag.size() - 2), &n))
        return makeError(ErrorCode::StoreUnavailable, "the object API sent no entity tag");
    return ObjectVersion(n);
}

ErrorOr<std::optional<StoredObject>> readResult(const HttpCallResult &result, const std::string &name)
{
    if (!result)
        return makeError(ErrorCode::StoreUnavailable, std::string(httpFailureName(result.error())));
    const int status = result->head.status;
    if (status == statusNotFound || status == statusNotModified)
        return std::nullopt;
    if (status != statusOk)
        return makeError(ErrorCode::StoreUnavailable, absl::StrCat("status ", status));
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
    const BlockingHttpClient client(m_address, m_timeout);
    return detail::readResult(client.get(detail::objectPath(kind, name)), name);
}

ErrorOr<ObjectVersion> HttpObjectStore::put(const std::string &kind, const std::string &name,
                                            const std::string &body, ObjectVersion expected)
{
    const BlockingHttpClient client(m_address, m_timeout);
    HttpFields fields;
    if (expected == ObjectVersion())
        fields.set("If-None-Match", "*");
    else
        fields.set("If-Match", detail::entityTag(expected));
    const auto result = client.put(detail::objectPath(kind, name), body, std::move(fields));
    if (!result) {
        // Only a refused connection proves that the write had no effect.
        return makeError(wasNeverSent(result.error()) ? ErrorCode::StoreUnavailable
                                                      : ErrorCode::StoreOutcomeUnknown,
                         std::string(httpFailureName(result.error())));
    }
    const int status = result->head.status;
    if (status == detail::statusPreconditionFailed)
        return makeError(ErrorCode::Conflict, absl::StrCat(kind, "/", name));
    if (status == detail::statusOk || status == detail::statusCreated) {
        auto version = detail::versionOf(*result);
        if (!version)
            return makeError(ErrorCode::StoreOutcomeUnknown, version.error().detail);
        return version;
    }
    // A server error may have come from a part behind the one that wrote.
    return makeError(ErrorCode::StoreOutcomeUnknown, absl::StrCat("status ", status));
}

ErrorOr<std::optional<StoredObject>> HttpObjectStore::watch(const std::string &kind, const std::string &name,
                                                            ObjectVersion after, absl::Duration timeout)
{
    const BlockingHttpClient client(m_address, timeout + m_timeout);
    auto path = absl::StrCat(detail::objectPath(kind, name), "?watch=true&after=", after.value(),
                             "&timeout_ms=", absl::ToInt64Milliseconds(timeout));
    return detail::readResult(client.get(path), name);
}

} // namespace Wisteria
