// Text form and keyed hash of tickets.

#include <LibLedger/Ticket.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <xxhash.h>

namespace Wisteria {

namespace detail {

constexpr const char *ticketPrefix = "wt1.";
constexpr std::size_t hashDigits = 16;

std::string hashedText(const Ticket &ticket)
{
    return absl::StrCat(ticketPrefix, ticket.router.value(), ".", ticket.incarnation.value(), ".",
                        ticket.number.value());
}

} // namespace detail

bool hasTicketPrefix(const IdempotencyKey &key)
{
    return key.value().starts_with(detail::ticketPrefix);
}

std::uint64_t ticketHash(const Ticket &ticket, TicketSecret secret)
{
    const std::string text = detail::hashedText(ticket);
    return XXH64(text.data(), text.size(), secret.value());
}

IdempotencyKey toKey(const Ticket &ticket)
{
    return IdempotencyKey(
        absl::StrCat(detail::hashedText(ticket), ".", absl::Hex(ticket.keyedHash, absl::kZeroPad16)));
}

ErrorOr<Ticket> ticketFromKey(const IdempotencyKey &key)
{
    // The router's name may contain dots, so the numeric fields are parsed from the right.
    const std::vector<absl::string_view> parts = absl::StrSplit(key.value(), '.');
    const std::size_t n = parts.size();
    Ticket ticket;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    if (!hasTicketPrefix(key) || n < 5 || parts[n - 1].size() != detail::hashDigits
        || !absl::SimpleAtoi(parts[n - 3], &incarnation) || !absl::SimpleAtoi(parts[n - 2], &number)
        || !absl::SimpleHexAtoi(parts[n - 1], &ticket.keyedHash))
        return makeError(ErrorCode::InvalidRequest, "malformed ticket");
    ticket.router = RouterId(absl::StrJoin(parts.begin() + 1, parts.end() - 3, "."));
    ticket.incarnation = Incarnation(incarnation);
    ticket.number = TicketNumber(number);
    // Only the canonical spelling is accepted; otherwise one ticket could be used under two keys.
    if (toKey(ticket) != key)
        return makeError(ErrorCode::InvalidRequest, "malformed ticket");
    return ticket;
}

} // namespace Wisteria
