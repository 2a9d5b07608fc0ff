#include <Measure/Measurements.h>

#include <LibBase/TextDelta.h>
#include <Measure/ProcessUsage.h>
#include <Measure/Statistics.h>
#include <algorithm>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <platform/ManifestReader.h>
#include <random>

namespace Stagepost::Measure {

namespace {

    using Json = nlohmann::json;

    // The largest number of organisations that the users expect.
    constexpr size_t organisations { 310 };
    constexpr size_t keysOfOrganisation { 3 };
    constexpr size_t services { 8 };

    // Generates manifests in the platform's format, with random names.
    class ManifestGenerator {
    public:
        explicit ManifestGenerator(size_t routes)
        {
            for (size_t number = 0; number < routes; ++number)
                addRoute();
            for (size_t number = 0; number < organisations; ++number)
                addOrganisation();
            for (size_t number = 0; number < services; ++number)
                m_services.push_back({ { "name", "service" + std::to_string(number) }, { "healthPath", "/healthz" }, { "maxConns", 600 } });
        }

        std::string next(size_t moreRoutes)
        {
            for (size_t number = 0; number < moreRoutes; ++number)
                addRoute();
            return Json { { "version", ++m_version }, { "routes", m_routes }, { "services", m_services }, { "tenants", m_organisations } }.dump();
        }

    private:
        std::string randomWord(size_t length)
        {
            std::string text;
            while (text.size() < length)
                text += static_cast<char>('a' + m_random() % 26);
            return text;
        }

        void addRoute()
        {
            m_routes.push_back({ { "name", "r-" + randomWord(7) }, { "host", "club.example" }, { "pathPrefix", "/" + randomWord(7) + "/" }, { "kind", "streaming" },
                { "timeoutMs", 10000 }, { "targetLatencyMs", 500 }, { "priority", 1 }, { "service", "service" + std::to_string(m_random() % services) },
                { "maxAttempts", 2 }, { "public", false }, { "sticky", true }, { "resumable", false }, { "targetGapMs", 400 } });
        }

        void addOrganisation()
        {
            Json keys = Json::array();
            while (keys.size() < keysOfOrganisation)
                keys.push_back(randomWord(20));
            m_organisations.push_back({ { "name", randomWord(8) }, { "apiKeys", keys }, { "priority", 1 } });
        }

        std::mt19937_64 m_random { 1 };
        uint64_t m_version { 0 };
        Json m_routes = Json::array();
        Json m_organisations = Json::array();
        Json m_services = Json::array();
    };

    // Returns the median CPU time of the runs in milliseconds.
    double medianCpuMilliseconds(size_t runs, std::function<void()> const& work)
    {
        std::vector<double> samples;
        for (size_t run = 0; run < runs; ++run) {
            auto const begin = threadCpuSeconds();
            work();
            samples.push_back(1000 * (threadCpuSeconds() - begin));
        }
        return quantile(samples, 0.5);
    }

    Result<RouteTable::Parts> parseToEnd(IncrementalSettingsParser const& parser)
    {
        for (;;) {
            if (auto parts = parser())
                return std::move(*parts);
        }
    }

    void measureChange(size_t routes, size_t moreRoutes, size_t runs)
    {
        ManifestGenerator generator(routes);
        auto const before = generator.next(0);
        auto const after = generator.next(moreRoutes);
        auto const delta = makeDelta(before, after);
        auto const parsed = readManifest(after);
        ResultLine line;
        line.add("settings_routes", static_cast<double>(routes)).add("more_routes", static_cast<double>(moreRoutes));
        line.add("text_kb", static_cast<double>(after.size()) / 1000).add("told_kb", static_cast<double>(delta.size()) / 1000);
        line.add("delta_ms", medianCpuMilliseconds(runs, [&] { (void)makeDelta(before, after); }));
        line.add("apply_ms", medianCpuMilliseconds(runs, [&] { (void)applyDelta(before, delta); }));
        line.add("whole_kb", static_cast<double>(makeDelta({}, after).size()) / 1000);
        ManifestReader reader;
        (void)parseToEnd(reader.read(makeSettingsText(before)));
        line.add("read_change_ms", medianCpuMilliseconds(1, [&] { (void)parseToEnd(reader.read(makeSettingsText(after))); }));
        line.add("read_same_ms", medianCpuMilliseconds(runs, [&] { (void)parseToEnd(reader.read(makeSettingsText(after))); }));
        line.add("read_ms", medianCpuMilliseconds(runs, [&] { (void)readManifest(after); }));
        line.add("table_ms", medianCpuMilliseconds(runs, [&] { RouteTable const table(*parsed); }));
        line.print();
    }

}

int measureSettings(Arguments const& arguments)
{
    size_t const runs = arguments.isQuick() ? 3 : 15;
    for (size_t const routes : { 100u, 1000u, 4450u, 10000u }) {
        for (size_t const moreRoutes : { 1u, 100u, 1400u })
            measureChange(routes, moreRoutes, runs);
    }
    return 0;
}

}
