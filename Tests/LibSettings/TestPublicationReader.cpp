#include <LibSettings/Settings.h>
#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace Stagepost;

namespace {

using Outcome = PublicationReader::Outcome;

std::string change(uint64_t base, std::string const& toml, std::string const& nonce = "n")
{
    return Publication { Publication::Kind::Change, Revision(base), {}, nonce, "me", toml }.toRecord();
}

std::string snapshot(uint64_t revision, uint64_t upTo, std::string const& toml)
{
    return Publication { Publication::Kind::Snapshot, Revision(revision), Offset(upTo), "s", "daemon", toml }.toRecord();
}

PublicationReader makeReader()
{
    return PublicationReader([](std::string const& toml) { return toml != "invalid"; });
}

// A simulated log whose first records can be removed by retention.
struct SimulatedLog {
    std::vector<std::string> records;
    uint64_t first { 0 };

    // The text of each revision, as determined by reading the whole log from its beginning.
    std::map<uint64_t, std::string> expectedRevisions() const
    {
        auto reader = makeReader();
        reader.startAtBeginning();
        std::map<uint64_t, std::string> result;
        for (uint64_t offset = 0; offset < records.size(); ++offset) {
            reader.apply(Offset(offset), records[offset]);
            result[reader.accepted()->revision.value()] = reader.accepted()->toml;
        }
        return result;
    }

    void catchUp(PublicationReader& reader, uint64_t maxRecords)
    {
        if (first > reader.position().value())
            reader.skipTo(Offset(first));
        if (!first && reader.position().isNull())
            reader.startAtBeginning();
        for (uint64_t count = 0; count < maxRecords && reader.position().value() < records.size(); ++count)
            reader.apply(reader.position(), records[reader.position().value()]);
    }
};

}

BOOST_AUTO_TEST_SUITE(PublicationReaderTests)

BOOST_AUTO_TEST_CASE(OneOfTwoRacingChangesWins)
{
    auto reader = makeReader();
    reader.startAtBeginning();
    BOOST_TEST((reader.apply(Offset(0), change(0, "a")) == Outcome::Accepted));
    BOOST_TEST((reader.apply(Offset(1), change(0, "b")) == Outcome::Conflict));
    BOOST_TEST(reader.accepted()->toml == "a");
    BOOST_TEST(reader.accepted()->revision.value() == 1u);
}

BOOST_AUTO_TEST_CASE(InvalidAndDamagedRecordsChangeNothing)
{
    auto reader = makeReader();
    reader.startAtBeginning();
    BOOST_TEST((reader.apply(Offset(0), change(0, "invalid")) == Outcome::Invalid));
    BOOST_TEST((reader.apply(Offset(1), "{") == Outcome::Ignored));
    BOOST_TEST((reader.apply(Offset(2), change(0, "a")) == Outcome::Accepted));
}

BOOST_AUTO_TEST_CASE(AChangeAppendedBeforeAnOlderSnapshotIsNotLost)
{
    // The snapshot of revision 1 reaches the log after the change to revision 2.
    auto reader = makeReader();
    reader.skipTo(Offset(5));
    BOOST_TEST((reader.apply(Offset(5), change(1, "two")) == Outcome::Unknown));
    BOOST_TEST((reader.apply(Offset(6), snapshot(1, 5, "one")) == Outcome::Accepted));
    BOOST_TEST(reader.accepted()->revision.value() == 2u);
    BOOST_TEST(reader.accepted()->toml == "two");
}

BOOST_AUTO_TEST_CASE(ASnapshotAfterAGapIsIgnored)
{
    auto reader = makeReader();
    reader.skipTo(Offset(6));
    BOOST_TEST((reader.apply(Offset(6), snapshot(1, 5, "one")) == Outcome::Ignored));
    BOOST_TEST(!reader.accepted().has_value());
}

BOOST_AUTO_TEST_CASE(APeersSettingsAreAdoptedOnlyIfNewer)
{
    auto reader = makeReader();
    reader.startAtBeginning();
    reader.apply(Offset(0), change(0, "a"));
    BOOST_TEST(!reader.adopt({ Revision(0), Offset(0), "", "", "" }));
    BOOST_TEST(reader.adopt({ Revision(3), Offset(9), "c", "", "" }));
    BOOST_TEST((reader.apply(Offset(9), change(3, "d")) == Outcome::Accepted));
}

BOOST_AUTO_TEST_CASE(AllReadersAgreeAndNoneReverts)
{
    BOOST_TEST(rc::check("racing publishers, truncation, snapshots, restarts and peers", [](std::vector<uint32_t> const& steps) {
        SimulatedLog log;
        std::vector<PublicationReader> readers(3, makeReader());
        std::vector<uint64_t> highest(3, 0);
        for (auto const step : steps) {
            auto const who = (step >> 8) % readers.size();
            auto& reader = readers[who];
            auto const known = reader.accepted();
            switch (step % 7) {
            case 0:
            case 1:
                // Publishers base changes on what this reader knows, even if it is outdated.
                if (known)
                    log.records.push_back(change(known->revision.value(), "t" + std::to_string(log.records.size())));
                break;
            case 2:
                if (known)
                    log.records.push_back(snapshot(known->revision.value(), known->upTo.value(), known->toml));
                break;
            case 3:
                if (!log.records.empty())
                    log.first += (step >> 16) % (log.records.size() - log.first + 1);
                break;
            case 4:
                // A restart loses all state.
                reader = makeReader();
                highest[who] = 0;
                break;
            case 5:
                if (auto const& other = readers[(who + 1) % readers.size()].accepted())
                    reader.adopt(*other);
                break;
            default:
                log.catchUp(reader, 1 + (step >> 16) % 4);
            }
            auto const expected = log.expectedRevisions();
            for (size_t index = 0; index < readers.size(); ++index) {
                auto const& accepted = readers[index].accepted();
                if (!accepted || accepted->revision.isNull())
                    continue;
                RC_ASSERT(expected.contains(accepted->revision.value()));
                RC_ASSERT(expected.at(accepted->revision.value()) == accepted->toml);
                RC_ASSERT(accepted->revision.value() >= highest[index]);
                highest[index] = accepted->revision.value();
            }
        }
    }));
}

// Guards against skipped records after the log is restored from a backup: a peer that has not
// noticed the restore still reports an offset of the old log, at which reading must not go on.
BOOST_AUTO_TEST_CASE(AfterALogRestoreOffsetsOfPeersAreIgnored)
{
    auto reader = makeReader();
    reader.startAtBeginning();
    reader.apply(Offset(0), change(0, "one"));
    reader.restartFrom(Offset(0));
    BOOST_TEST((reader.accepted()->toml == "one"));
    AcceptedSettings peer { Revision(1), Offset(9), "one", "me", "n" };
    BOOST_TEST(!reader.adopt(peer));
    peer.revision = Revision(2);
    peer.toml = "two";
    BOOST_TEST(reader.adopt(peer));
    BOOST_TEST(reader.position().value() == 0u);
    // A new record at an offset that was read before the restore.
    BOOST_TEST((reader.apply(Offset(0), change(2, "three")) == Outcome::Accepted));
    BOOST_TEST(reader.accepted()->toml == "three");
}

BOOST_AUTO_TEST_SUITE_END()
