#pragma once

#include <LibBase/Ids.h>
#include <LibSettings/Publication.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Stagepost {

// The accepted settings and the position in the stream up to which they are known.
struct AcceptedSettings {
    Revision revision;
    // All records before this offset are covered.
    Offset upTo;
    std::string toml;
    std::string author;
    std::string nonce;
};

// Applies the records of the settings stream in offset order and so determines the accepted
// settings. The rule is deterministic, so all readers agree: a change is accepted if and only
// if it is based on the current revision and valid.
//
// A reader that starts in the middle of the stream has no accepted settings until it finds a
// snapshot after which it has read all records without a gap.
class PublicationReader {
public:
    enum class Outcome {
        Accepted,
        Conflict,
        Ignored,
        Invalid,
        // Undecided: the reader has no accepted settings yet and must first find a snapshot.
        Unknown,
    };

    // Returns whether settings are valid. The result must depend on the text alone, or else
    // readers would disagree.
    using Validator = std::function<bool(std::string const& toml)>;

    explicit PublicationReader(Validator isValid)
        : m_isValid(std::move(isValid))
    {
    }

    // Starts with the empty settings, revision 0. To be called only if the stream is read from
    // its very first record.
    void startAtBeginning();

    // Applies the next record. Its offset must be position().
    Outcome apply(Offset, std::string_view record);

    // Adopts the settings of a peer that has read further and whose revision isn't older, and
    // continues at the peer's offset. After restartFrom() a reader that has accepted settings
    // compares the revisions only and keeps its position. Returns whether it adopted them.
    bool adopt(AcceptedSettings const&);

    // The offset of the next record to apply.
    Offset position() const { return m_position; }
    // Continues at an offset after the log's retention removed the records before it. The
    // reader drops its accepted settings and needs a snapshot.
    void skipTo(Offset);
    // Continues at the log's first record after a restore of the log from a backup, in which
    // offsets are reused. The accepted settings stay.
    void restartFrom(Offset first);

    std::optional<AcceptedSettings> const& accepted() const { return m_accepted; }

private:
    Outcome applyChange(Publication const&);
    Outcome applySnapshot(Publication const&);
    void applyPendingChanges();

    Validator m_isValid;
    Offset m_position;
    // Whether restartFrom() was called. Offsets of peers may then refer to the log before the
    // restore and can't be used.
    bool m_hasRestarted { false };
    // All records from this offset up to m_position have been read.
    Offset m_contiguousFrom;
    // Changes in that range that can't be decided before a snapshot is found.
    std::vector<std::pair<Offset, Publication>> m_pendingChanges;
    std::optional<AcceptedSettings> m_accepted;
};

}
