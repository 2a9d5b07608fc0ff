#pragma once

#include <LibBase/Ids.h>
#include <LibSettings/Publication.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Stagepost {

// The accepted configuration and how far the stream was read to know it.
struct AcceptedSettings {
    Revision revision;
    // All records before this offset are taken into account.
    Offset upTo;
    std::string toml;
    std::string author;
    std::string nonce;
};

// Folds the settings stream, in offset order, into the accepted configuration.
// Every reader uses the same rule, so all agree: a change is accepted if, and
// only if, it was made from the current revision and is valid.
//
// A reader that starts in the middle of the stream knows nothing until it finds
// a snapshot from which it can read on without a gap.
class PublicationReader {
public:
    enum class Outcome {
        Accepted,
        Conflict,
        Ignored,
        Invalid,
        // The reader has no base yet and has to find a snapshot.
        Unknown,
    };

    // The hook says whether a tree is valid; it must depend on the text alone.
    using ValidHook = std::function<bool(std::string const& toml)>;

    explicit PublicationReader(ValidHook isValid)
        : m_isValid(std::move(isValid))
    {
    }

    // Says that the stream has been read from its very first record, so that the
    // empty configuration, revision 0, is the base.
    void startAtBeginning();

    // Takes the next record. Records must come in offset order, without a gap.
    Outcome take(Offset, std::string_view record);

    // Takes state from a peer, if it is newer than what is known; the reader then
    // goes on from its offset. Returns whether it was taken.
    bool adopt(AcceptedSettings const&);

    // The offset that the next record to take must have.
    Offset position() const { return m_position; }
    // Jumps to an offset because the records before it are gone from the log.
    void skipTo(Offset);
    // Reads on from the log's first record, since offsets have been given out again. What is
    // accepted stays.
    void readAgainFrom(Offset first);

    std::optional<AcceptedSettings> const& accepted() const { return m_accepted; }

private:
    Outcome takeChange(Publication const&);
    Outcome takeSnapshot(Publication const&);
    void replayUnplaced();

    ValidHook m_isValid;
    Offset m_position;
    // Offsets of others may be of the log before.
    bool m_hasReadAgain { false };
    // The first offset of the run without a gap that has been read.
    Offset m_runStart;
    // Changes of that run that were read before any snapshot gave them a base.
    std::vector<std::pair<Offset, Publication>> m_unplaced;
    std::optional<AcceptedSettings> m_accepted;
};

}
