// Tests PlatformDialect and ObjectDecoder: translation of headers and objects, and rejection of invalid
// input.

#include <ObjectDecoder.h>
#include <PlatformDialect.h>

#include <LibCore/Random.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria::Platform {

class TestAdapter : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestAdapter);
    CPPUNIT_TEST(requestFieldsAreDecoded);
    CPPUNIT_TEST(sharedPartsOfPromptAreDecoded);
    CPPUNIT_TEST(malformedRequestIsRejected);
    CPPUNIT_TEST(repeatedFieldsAreRejected);
    CPPUNIT_TEST(connectionCannotTakeFieldsOfTheOtherEnd);
    CPPUNIT_TEST(callerCannotForgeReservedHeaders);
    CPPUNIT_TEST(responseOriginIsClassified);
    CPPUNIT_TEST(requestIdThatIsNotUtf8IsWritten);
    CPPUNIT_TEST(noticesOfTargetsAreDecoded);
    CPPUNIT_TEST(malformedNoticesAreIgnored);
    CPPUNIT_TEST(limitsOfTargetsAreDecoded);
    CPPUNIT_TEST(malformedLimitsAreIgnored);
    CPPUNIT_TEST(copyHeadersAndResponsesAreTranslated);
    CPPUNIT_TEST(stopRequestsAndResponsesAreTranslated);
    CPPUNIT_TEST(entryPointsAreEncoded);
    CPPUNIT_TEST(configurationIsDecoded);
    CPPUNIT_TEST(reportShowsWhetherARequestMayBeQueued);
    CPPUNIT_TEST(targetWithInvalidFieldIsRejected);
    CPPUNIT_TEST(corruptedObjectsDoNotCrashDecoder);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestFieldsAreDecoded()
    {
        const auto request = m_dialect.readRequest(callerFields());
        CPPUNIT_ASSERT(request);
        CPPUNIT_ASSERT(request->id == RequestId("9c41"));
        CPPUNIT_ASSERT_EQUAL(std::string("secret"), request->apiKey);
        CPPUNIT_ASSERT(request->callerTimeout == absl::Milliseconds(2500));
        CPPUNIT_ASSERT(request->lastEvent == EventNumber(12));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1460}, request->size.promptTokens);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{80}, request->size.maxOutputTokens);
    }

    // The last part belongs to the request itself.
    void sharedPartsOfPromptAreDecoded()
    {
        CPPUNIT_ASSERT(m_dialect.readRequest(callerFields())->sharedParts.empty());
        auto fields = callerFields();
        fields.set("Prompt-Prefix", "5c1e07a2:800, 91BD3F06:410,91bd3f06:9,e4402b7d:250");
        const std::vector<PromptPartId> expected = {PromptPartId(0x5c1e07a2), PromptPartId(0x91bd3f06)};
        CPPUNIT_ASSERT(m_dialect.readRequest(fields)->sharedParts == expected);
        fields.set("Prompt-Prefix", "e4402b7d:250");
        CPPUNIT_ASSERT(m_dialect.readRequest(fields)->sharedParts.empty());
        fields.set("Prompt-Prefix", "not hexadecimal,x,123456789012345678901234567890:4,");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_dialect.readRequest(fields)->sharedParts.size());
    }

    void malformedRequestIsRejected()
    {
        CPPUNIT_ASSERT(!m_dialect.readRequest({}));
        auto fields = callerFields();
        fields.set("Token-Counts", "many");
        CPPUNIT_ASSERT(!m_dialect.readRequest(fields));
        fields = callerFields();
        fields.set("Deadline-Ms", "-5");
        CPPUNIT_ASSERT(!m_dialect.readRequest(fields));
    }

    // Engines could read the other one, and run the request with another id or model.
    void repeatedFieldsAreRejected()
    {
        for (const auto *name :
             {"Request-Id", "Model", "Token-Counts", "Prompt-Prefix", "Last-Event-Id", "Authorization"}) {
            auto fields = callerFields();
            fields.set(name, "1,2");
            fields.insert(name, "1,2");
            CPPUNIT_ASSERT_MESSAGE(name, !m_dialect.readRequest(fields));
        }
    }

    // A sealed answer that named its seal was delivered as a success without one, and a request lost its id.
    void connectionCannotTakeFieldsOfTheOtherEnd()
    {
        HttpFields fields;
        fields.set("Connection", "engine-seal, Request-Id, Model, Host, X-Hop");
        for (const auto *name : {"Engine-Seal", "Request-Id", "Model", "Host", "X-Hop"})
            fields.set(name, "1");
        removeConnectionFields(fields, m_dialect);
        for (const auto *name : {"Engine-Seal", "Request-Id", "Model", "Host"})
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{1}, fields.count(name));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fields.count("X-Hop"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fields.count("Connection"));
    }

    void callerCannotForgeReservedHeaders()
    {
        auto fields = callerFields();
        for (const auto *name : {"Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Tenant", "Expect-Instance"})
            fields.set(name, "forged");
        const auto request = *m_dialect.readRequest(fields);
        AttemptParameters parameters;
        parameters.target = TargetId("i-1");
        parameters.timeLeft = absl::Milliseconds(700);
        parameters.workspace = WorkspaceName("w");
        m_dialect.writeTargetFields(fields, request, parameters);
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), value(fields, "Expect-Instance"));
        CPPUNIT_ASSERT_EQUAL(std::string("w"), value(fields, "Tenant"));
        CPPUNIT_ASSERT_EQUAL(std::string("700"), value(fields, "Deadline-Ms"));
        CPPUNIT_ASSERT_EQUAL(std::string("9c41"), value(fields, "Request-Id"));
        for (const auto *name : {"Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Authorization"})
            CPPUNIT_ASSERT_MESSAGE(name, value(fields, name).empty());
    }

    // Writing it as JSON threw, which ended the process.
    void requestIdThatIsNotUtf8IsWritten()
    {
        const auto request = m_dialect.makeCopyRequest(RequestId("caf\xe9"), "10.0.0.1:1");
        CPPUNIT_ASSERT(nlohmann::json::accept(request.body));
        const auto response = m_dialect.writeEntryPoints({"\xff"}, absl::Seconds(1));
        CPPUNIT_ASSERT(nlohmann::json::accept(response.body));
    }

    void responseOriginIsClassified()
    {
        const RequestId id("9c41");
        HttpResponseHead head;
        head.status = 200;
        head.fields.set("Request-Id", "9c41");
        CPPUNIT_ASSERT(m_dialect.classifyResponse(head, id, ConnectionAge::New) == ResponseClass::Untrusted);
        head.fields.set("Engine-Seal", "s");
        CPPUNIT_ASSERT(m_dialect.classifyResponse(head, id, ConnectionAge::New) == ResponseClass::Executed);
        CPPUNIT_ASSERT(m_dialect.classifyResponse(head, RequestId("other"), ConnectionAge::New)
                       == ResponseClass::Untrusted);
        head.fields.set("Content-Encoding", "gzip");
        CPPUNIT_ASSERT(m_dialect.classifyResponse(head, id, ConnectionAge::New) == ResponseClass::Untrusted);
        HttpResponseHead refused;
        refused.status = 503;
        refused.fields.set("Not-Executed", "1");
        CPPUNIT_ASSERT(m_dialect.classifyResponse(refused, id, ConnectionAge::New)
                       == ResponseClass::RejectedFull);
        refused.status = 421;
        CPPUNIT_ASSERT(m_dialect.classifyResponse(refused, id, ConnectionAge::New)
                       == ResponseClass::RejectedReplaced);
    }

    void noticesOfTargetsAreDecoded()
    {
        HttpResponseHead head;
        head.status = 200;
        CPPUNIT_ASSERT(!m_dialect.readTargetNotice(head).isLeaving);
        head.fields.set("Server-Leaving", "1");
        CPPUNIT_ASSERT(m_dialect.readTargetNotice(head).isLeaving);
        // Only rejections ask for a pause.
        head.fields.set("Retry-After", "0.25");
        CPPUNIT_ASSERT(!m_dialect.readTargetNotice(head).backoff);
        head.status = 503;
        const auto notice = m_dialect.readTargetNotice(head);
        CPPUNIT_ASSERT(notice.isLeaving);
        CPPUNIT_ASSERT(notice.backoff == absl::Milliseconds(250));
        CPPUNIT_ASSERT(!notice.isMalformed);
    }

    void malformedNoticesAreIgnored()
    {
        HttpResponseHead head;
        head.status = 503;
        for (const auto *value : {"-1", "soon", "nan", "inf", "1e999", "Fri, 04 Dec 2026 11:00:00 GMT"}) {
            head.fields.set("Retry-After", value);
            const auto notice = m_dialect.readTargetNotice(head);
            CPPUNIT_ASSERT_MESSAGE(value, !notice.backoff);
            CPPUNIT_ASSERT_MESSAGE(value, notice.isMalformed);
        }
        head.fields.erase("Retry-After");
        head.fields.set("Server-Leaving", "perhaps");
        CPPUNIT_ASSERT(!m_dialect.readTargetNotice(head).isLeaving);
        CPPUNIT_ASSERT(m_dialect.readTargetNotice(head).isMalformed);
    }

    void limitsOfTargetsAreDecoded()
    {
        HttpResponseHead head;
        head.status = 200;
        // Only an answer that the engine has executed shows that no limit is in force.
        CPPUNIT_ASSERT(!m_dialect.readTargetNotice(head).hasNoLimit);
        head.fields.set("Engine-Seal", "s");
        CPPUNIT_ASSERT(m_dialect.readTargetNotice(head).hasNoLimit);
        head.fields.set("Not-Executed", "1");
        CPPUNIT_ASSERT(!m_dialect.readTargetNotice(head).hasNoLimit);
        for (const auto &[value, perSecond] : std::initializer_list<std::pair<const char *, double>>{
                 {"2.1", 2.1}, {"0.01", 0.01}, {"0", 0}, {"1e9", 1e9}, {"40", 40}}) {
            head.fields.set("Server-Limit", value);
            const auto notice = m_dialect.readTargetNotice(head);
            CPPUNIT_ASSERT_MESSAGE(value, notice.limit == RequestRate::perSecond(perSecond));
            CPPUNIT_ASSERT_MESSAGE(value, !notice.isMalformed);
        }
    }

    void malformedLimitsAreIgnored()
    {
        HttpResponseHead head;
        head.status = 200;
        head.fields.set("Engine-Seal", "s");
        for (const auto *value : {"-1", "nan", "inf", "-inf", "1e999", "2,1", "two", "2 per second"}) {
            head.fields.set("Server-Limit", value);
            const auto notice = m_dialect.readTargetNotice(head);
            CPPUNIT_ASSERT_MESSAGE(value, !notice.limit);
            CPPUNIT_ASSERT_MESSAGE(value, !notice.hasNoLimit);
            CPPUNIT_ASSERT_MESSAGE(value, notice.isMalformed);
        }
        head.fields.set("Server-Limit", "2");
        head.fields.insert("Server-Limit", "3");
        CPPUNIT_ASSERT(!m_dialect.readTargetNotice(head).limit);
        CPPUNIT_ASSERT(m_dialect.readTargetNotice(head).isMalformed);
    }

    void copyHeadersAndResponsesAreTranslated()
    {
        const auto request = *m_dialect.readRequest(callerFields());
        auto fields = callerFields();
        AttemptParameters parameters;
        parameters.copyHolder = "10.0.0.2:80";
        parameters.resumeFrom = CopySource{"10.0.0.1:80", ""};
        m_dialect.writeTargetFields(fields, request, parameters);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:80"), value(fields, "Kv-Backup"));
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80/9c41"), value(fields, "Kv-From"));
        parameters.resumeFrom = CopySource{"10.0.0.1:80", "h7"};
        m_dialect.writeTargetFields(fields, request, parameters);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80/h7"), value(fields, "Kv-From"));
        CPPUNIT_ASSERT(
            m_dialect.parseCopyResponse(makeResponse(200, "", R"({"handle":"h7","created":4})")).handle
            == "h7");
        CPPUNIT_ASSERT(m_dialect.parseCopyResponse(makeResponse(404, "", "")).outcome
                       == CopyOutcome::Impossible);
        CPPUNIT_ASSERT(m_dialect.parseCopyResponse(makeResponse(503, "", "")).outcome
                       == CopyOutcome::Refused);
        CPPUNIT_ASSERT(m_dialect.parseCopyResponse(makeResponse(200, "", "nonsense")).outcome
                       == CopyOutcome::Refused);
    }

    void stopRequestsAndResponsesAreTranslated()
    {
        const auto request = m_dialect.makeStopRequest(RequestId("9c41"), "10.0.0.2:80");
        CPPUNIT_ASSERT_EQUAL(std::string("POST /-/kv-move"), request.method + " " + request.path);
        const auto body = nlohmann::json::parse(request.body);
        CPPUNIT_ASSERT(body["id"] == "9c41" && body["target"] == "10.0.0.2:80" && body["last"] == true);
        const auto answer = [&](int status, const std::string &text) {
            return m_dialect.parseStopResponse(makeResponse(status, "", text));
        };
        CPPUNIT_ASSERT(answer(404, "").outcome == StopOutcome::NotRunning);
        for (const int status : {409, 429, 503})
            CPPUNIT_ASSERT(answer(status, "").outcome == StopOutcome::Busy);
        // The run stops also if the other target takes no copy.
        for (const int status : {200, 503}) {
            const auto stopped = answer(status, R"({"handle":"h7","created":4})");
            CPPUNIT_ASSERT(stopped.outcome == StopOutcome::Stopped && stopped.handle == "h7");
        }
        CPPUNIT_ASSERT(answer(200, "nonsense").outcome == StopOutcome::Unknown);
        CPPUNIT_ASSERT(answer(500, R"({"handle":"h7"})").outcome == StopOutcome::Unknown);
    }

    void entryPointsAreEncoded()
    {
        const auto query = m_dialect.readEntryPointQuery("/-/resolve?name=a.example&region=r&zone=suva");
        CPPUNIT_ASSERT(query && query->domain == FailureDomain("suva"));
        CPPUNIT_ASSERT(!m_dialect.readEntryPointQuery("/-/resolved"));
        const auto body =
            nlohmann::json::parse(m_dialect.writeEntryPoints({"10.0.0.1:1"}, absl::Seconds(2)).body);
        CPPUNIT_ASSERT(body["addresses"] == nlohmann::json({"10.0.0.1:1"}));
        CPPUNIT_ASSERT(body["ttlS"] == 2.0);
    }

    void configurationIsDecoded()
    {
        const auto configuration = m_decoder.configuration(
            {"main", StorePosition{StoreEra(), ObjectVersion(3)}, configurationSpec(), false});
        CPPUNIT_ASSERT(configuration);
        CPPUNIT_ASSERT(configuration->version == ConfigVersion(7));
        const auto &route = configuration->routes.at(0);
        CPPUNIT_ASSERT(route.kind == RouteKind::ResumableStream);
        CPPUNIT_ASSERT(route.timeout == absl::Seconds(25));
        CPPUNIT_ASSERT(route.maxEventGap == absl::Milliseconds(700));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, route.shares.size());
        CPPUNIT_ASSERT_EQUAL(5, route.maxAttempts);
        CPPUNIT_ASSERT(configuration->services.at(0).engine.supportsCopies);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{88000}, configuration->services.at(0).engine.memoryTokens);
        CPPUNIT_ASSERT(configuration->limits.idleTimeout == absl::Seconds(15));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, configuration->workspaces.size());
        CPPUNIT_ASSERT(!m_decoder.configuration(
            {"other", StorePosition{StoreEra(), ObjectVersion(3)}, configurationSpec(), false}));
    }

    // A request whose answer was lost may still wait there.
    void reportShowsWhetherARequestMayBeQueued()
    {
        const auto presence = [&](const std::string &body, int status = 200) {
            return m_dialect.parseQueueReport(makeResponse(status, "application/json", body),
                                              RequestId("9c41"));
        };
        CPPUNIT_ASSERT(presence(R"({"waiting":0,"running":0,"runs":[]})") == QueuePresence::Absent);
        CPPUNIT_ASSERT(presence(R"({"waiting":0,"running":1,"runs":[["7",10,2,5]]})")
                       == QueuePresence::Absent);
        for (const auto *body :
             {R"({"waiting":1,"running":0,"runs":[]})", R"({"waiting":0,"running":1,"runs":[]})",
              R"({"waiting":0,"running":1,"runs":[["9c41",10,2,5]]})",
              R"({"waiting":0,"running":1,"runs":[[]]})", R"({"waiting":0,"running":0})",
              R"({"running":0,"runs":[]})", R"({"waiting":-1,"running":0,"runs":[]})",
              R"({"waiting":"0","running":0,"runs":[]})", "[]", "", "{"})
            CPPUNIT_ASSERT_MESSAGE(body, presence(body) == QueuePresence::MayBePresent);
        CPPUNIT_ASSERT(presence(R"({"waiting":0,"running":0,"runs":[]})", 500)
                       == QueuePresence::MayBePresent);
    }

    void targetWithInvalidFieldIsRejected()
    {
        CPPUNIT_ASSERT(
            m_decoder.target({"i-1", StorePosition{StoreEra(), ObjectVersion(1)}, targetSpec(), false}));
        for (const auto *field : {"service", "address", "zone", "slots", "state"}) {
            for (const nlohmann::json &invalidValue :
                 {nlohmann::json(), nlohmann::json::array(), nlohmann::json(true)}) {
                auto spec = targetSpec();
                spec[field] = invalidValue;
                CPPUNIT_ASSERT_MESSAGE(
                    field,
                    !m_decoder.target({"i-1", StorePosition{StoreEra(), ObjectVersion(1)}, spec, false}));
            }
        }
        auto spec = targetSpec();
        spec["state"] = "resting";
        CPPUNIT_ASSERT(!m_decoder.target({"i-1", StorePosition{StoreEra(), ObjectVersion(1)}, spec, false}));
        spec = targetSpec();
        spec["address"] = "somewhere";
        CPPUNIT_ASSERT(!m_decoder.target({"i-1", StorePosition{StoreEra(), ObjectVersion(1)}, spec, false}));
        spec["slots"] = -1;
        CPPUNIT_ASSERT(!m_decoder.target({"i-1", StorePosition{StoreEra(), ObjectVersion(1)}, spec, false}));
    }

    void corruptedObjectsDoNotCrashDecoder()
    {
        SeededRandom random(23);
        for (const auto &original : {configurationSpec().dump(), targetSpec().dump()}) {
            for (int n = 0; n < 4000; ++n) {
                auto text = original;
                for (int k = 0; k < 3; ++k)
                    text[random.below(text.size())] = "{}[]\",:0a9"[random.below(10)];
                const auto json = nlohmann::json::parse(text, nullptr, false);
                if (json.is_discarded())
                    continue;
                const DirectoryObject object{"main", StorePosition{StoreEra(), ObjectVersion(1)}, json,
                                             false};
                (void)m_decoder.configuration(object);
                (void)m_decoder.target(object);
                (void)m_decoder.router(object);
            }
        }
    }

private:
    static std::string value(const HttpFields &fields, std::string_view name)
    {
        return std::string(fieldValue(fields, name));
    }
    static HttpFields callerFields()
    {
        HttpFields fields;
        fields.set("Request-Id", "9c41");
        fields.set("Authorization", "Bearer secret");
        fields.set("Deadline-Ms", "2500");
        fields.set("Last-Event-Id", "12");
        fields.set("Token-Counts", "1460,80");
        return fields;
    }
    static nlohmann::json configurationSpec()
    {
        return nlohmann::json::parse(
            R"({"version":7,"routes":[{"name":"r","host":"h.example","pathPrefix":"/p/",
            "kind":"stream","timeoutMs":25000,"targetLatencyMs":4500,"priority":1,"trafficSplit":[{"service":"a",
            "weight":90},{"service":"b","weight":10}],"maxAttempts":5,"resumable":true,"gapAimMs":700}],
            "services":[{"name":"a","maxConnections":360,"engine":{"slots":64,"kvTokens":88000,"backups":true}}],
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
            "tenants":[{"name":"t","apiKeys":["k"],"priority":1}]})");
    }
    static nlohmann::json targetSpec()
    {
        return nlohmann::json::parse(
            R"({"service":"a","address":"10.128.0.9:8080","zone":"kochi","version":"v1",
            "slots":64,"state":"ready","coldRemainingMs":0,"sequence":4,"born":1700000000000})");
    }

    PlatformDialect m_dialect;
    ObjectDecoder m_decoder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAdapter);

} // namespace Wisteria::Platform
